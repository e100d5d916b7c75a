package org.mangowall.router;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers to callers that are made of what a runner in trouble sent, which is no HTTP, as seen by a
 * caller of the home router (0) and by a caller of another router (1).
 */
class MalformedResponseTest {

    private static final String LENGTH = "content-length: 5\r\n\r\nwhole";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    private static final List<String> FORMS = List.of(
            "HTTP/1.1 000 OK\r\n" + LENGTH,
            "HTTP/1.1 0200 OK\r\n" + LENGTH,
            "HTTP/1.1 +200 OK\r\n" + LENGTH,
            "HTTP/1.1 600 OK\r\n" + LENGTH,
            "HTTP/1.1 101 Switching Protocols\r\n" + LENGTH,
            "HTTP/2.0 200 OK\r\n" + LENGTH,
            "http/1.1 200 OK\r\n" + LENGTH,
            "HTTP/1.1 200 O\u0001K\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\nx name: v\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\nx\tname: v\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\nx-name : v\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\nx-na\u0001me: v\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\nx-name: v\r\n folded\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\ncontent length: 3\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\ntransfer encoding: chunked\r\n" + LENGTH,
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n" + LENGTH,
            "HTTP/1.1 200 OK\ncontent-length: 5\n\nwhole",
            "HTTP/1.1 103 Early Hints\r\nx name: v\r\n\r\nHTTP/1.1 200 OK\r\n" + LENGTH,
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + LENGTH,
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5 5\r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5 \r\nwhole\r\n0\r\n\r\n",
            CHUNKED + "5\r\nwholexx0\r\n\r\n",
            CHUNKED + "5\r\nwhole\r\n0\r\nx sum: 1\r\n\r\n",
            CHUNKED + "5\r\nwhole\r\n0\r\ncontent-length: 5\r\n\r\n");

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aMalformedResponseReachesNoCaller(int router) throws Exception {
        AtomicReference<String> form = new AtomicReference<>();
        FakeRunner.Script script = (call, socket) -> {
            FakeRunner.write(socket, form.get());
            socket.close();
        };
        List<String> passed = new ArrayList<>();
        try (FakeRunner model = new FakeRunner(script);
                FakeRunner plain = new FakeRunner(script);
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(model.port(), plain.port()))) {
            for (String malformed : FORMS) {
                form.set(malformed);
                String answer = post(fleet, router);
                boolean isWhole = answer.endsWith("whole") || answer.endsWith("0\r\n\r\n");
                if (!answer.startsWith("HTTP/1.1 502") && (isWhole || answer.isEmpty())) {
                    passed.add(malformed.replace("\r", "\\r").replace("\n", "\\n") + " -> " + answer);
                }
            }
            form.set("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-name:\r\n" + LENGTH);
            String sound = post(fleet, router);
            assertTrue(sound.startsWith("HTTP/1.1 200") && sound.contains("whole"), sound);
        }
        assertEquals(List.of(), passed);
    }

    private static String post(TestFleet fleet, int router) throws Exception {
        try (RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            return caller.send(RawCaller.plain("POST", "/entries", "one")
                            .replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n"))
                    .readToEnd();
        }
    }
}
