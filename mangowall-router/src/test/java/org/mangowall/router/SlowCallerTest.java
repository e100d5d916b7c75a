package org.mangowall.router;

import java.io.InputStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SlowCallerTest {

    private static final int ANSWER_BYTES = 64 * 1024 * 1024;

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aLargeAnswerIsThrottledToASlowCaller(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) -> {
                    FakeRunner.write(socket, "HTTP/1.1 200 OK\r\ncontent-length: " + ANSWER_BYTES + "\r\n\r\n");
                    byte[] buffer = new byte[64 * 1024];
                    for (int sent = 0; sent < ANSWER_BYTES; sent += buffer.length) {
                        socket.getOutputStream().write(buffer);
                    }
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(1, plain.port()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            caller.send(RawCaller.plain("GET", "/large", "")).readUntil("\r\n\r\n");
            assertEquals(ANSWER_BYTES, readSlowly(caller.input()));
        }
    }

    private static long readSlowly(InputStream in) throws java.io.IOException {
        byte[] buffer = new byte[16 * 1024];
        long total = 0;
        while (total < ANSWER_BYTES) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, ANSWER_BYTES - total));
            if (read < 0) {
                break;
            }
            total += read;
            Thread.yield();
        }
        return total;
    }
}
