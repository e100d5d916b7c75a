package org.mangowall.router;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a part of a response that counts as the whole: its runner answers an upload without a length, and ends
 * the connection before it has read the upload.
 */
class EarlyResponseTest {

    private static final int ROUNDS = 5;
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");
    private static final String COMPLETE = "x-mangowall-outcome: complete";

    /** A runner that reads a share of each upload before it answers and ends the connection. */
    private static final class EarlyRunner implements AutoCloseable {

        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final double readShare;
        private final boolean isOutputShutDown;

        EarlyRunner(double readShare, boolean isOutputShutDown) throws IOException {
            this.readShare = readShare;
            this.isOutputShutDown = isOutputShutDown;
            Thread.ofVirtual().start(this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException closed) {
                    // The runner has ended.
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream input = socket.getInputStream();
                StringBuilder head = new StringBuilder();
                while (!head.toString().endsWith("\r\n\r\n")) {
                    int next = input.read();
                    if (next < 0) {
                        return;
                    }
                    head.append((char) next);
                }
                if (head.toString().contains("/load")) {
                    FakeRunner.send(socket, "200 OK", "", "{\"started_at_millis\":1,\"running\":0,\"completed\":0}");
                    return;
                }
                Matcher length = LENGTH.matcher(head);
                input.readNBytes(length.find() ? (int) (readShare * Integer.parseInt(length.group(1))) : 0);
                FakeRunner.write(socket, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: part\n\n");
                if (isOutputShutDown) {
                    socket.shutdownOutput();
                }
            } catch (IOException closed) {
                // The router closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static int completeAnswers(double readShare, boolean isOutputShutDown, int bytes) throws Exception {
        int complete = 0;
        try (EarlyRunner runner = new EarlyRunner(readShare, isOutputShutDown);
                TestFleet fleet = TestFleet.of(1, TestFleet.inventory(1, runner.server.getLocalPort()))) {
            for (int round = 0; round < ROUNDS; round++) {
                try (RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
                    String request = RawCaller.plain("POST", "/entries", "u".repeat(bytes))
                            .replaceFirst("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
                    complete += caller.send(request).readToEnd().contains(COMPLETE) ? 1 : 0;
                }
            }
        }
        return complete;
    }

    @ParameterizedTest
    @CsvSource({"0, false", "0, true", "0.5, false", "0.5, true", "0.95, false", "0.95, true"})
    void aResponseThatEndsBeforeTheUploadWasReadIsIncomplete(double readShare, boolean isOutputShutDown)
            throws Exception {
        for (int bytes : List.of(100_000, 900_000)) {
            assertEquals(0, completeAnswers(readShare, isOutputShutDown, bytes), bytes + " bytes");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseThatEndsAfterTheWholeUploadWasReadIsComplete(boolean isOutputShutDown) throws Exception {
        for (int bytes : List.of(100, 100_000, 900_000)) {
            assertEquals(ROUNDS, completeAnswers(1, isOutputShutDown, bytes), bytes + " bytes");
        }
    }
}
