package org.mangowall.router;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against reading on from a runner that sends bytes without end where its answer should go on, as seen by a
 * caller of the home router (0) and by a caller of another router (1).
 */
class EndlessResponseTest {

    /** More than the buffers of the sockets between a runner and a caller hold. */
    private static final int MAXIMUM_BYTES = 64 << 20;

    private static final int PART_BYTES = 1 << 14;

    private static String beginning(String place) {
        return switch (place) {
            case "status line" -> "HTTP/1.1 200 ";
            case "header value" -> "HTTP/1.1 200 OK\r\nx-long: ";
            case "header name" -> "HTTP/1.1 200 OK\r\nx-long";
            case "headers" -> "HTTP/1.1 200 OK\r\n";
            case "interim responses", "no response", "line ends" -> "";
            case "chunk extension" -> "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=";
            case "chunk size" -> "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            case "trailers" -> "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
            case "refusal" -> "HTTP/1.1 503 Service Unavailable\r\nx-not-run: yes\r\ncontent-length: 999999999\r\n\r\n";
            case "behind a response" -> "HTTP/1.1 200 OK\r\nx-mangowall-request: %s\r\ncontent-length: 0\r\n\r\n";
            default -> throw new IllegalArgumentException(place);
        };
    }

    private static String unit(String place) {
        return switch (place) {
            case "headers", "trailers" -> "x-short: value\r\n";
            case "interim responses" -> "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
            case "line ends" -> "\r\n";
            case "chunk size" -> "0";
            default -> "x";
        };
    }

    private static int expectedStatus(String place) {
        return switch (place) {
            case "behind a response" -> 200;
            case "refusal" -> 503;
            // The head of an answer in chunks is sent before its body has been read.
            case "chunk extension", "chunk size", "trailers" -> 200;
            default -> 502;
        };
    }

    /** Counts the bytes that a runner could send before its connection was closed. */
    private static final class Sent {

        private final CompletableFuture<Integer> all = new CompletableFuture<>();
        private final AtomicInteger soFar = new AtomicInteger();

        void writeWithoutEnd(Socket socket, String unit) throws IOException {
            byte[] part = unit.repeat(PART_BYTES / unit.length()).getBytes(StandardCharsets.ISO_8859_1);
            try {
                while (soFar.get() < MAXIMUM_BYTES) {
                    socket.getOutputStream().write(part);
                    soFar.addAndGet(part.length);
                }
            } finally {
                all.complete(soFar.get());
                socket.close();
            }
        }

        void assertBounded() throws Exception {
            assertTrue(all.get(20, TimeUnit.SECONDS) < MAXIMUM_BYTES, "the router read all bytes");
        }
    }

    private static Stream<Arguments> cases() {
        return Stream.of(
                        "status line",
                        "header name",
                        "header value",
                        "headers",
                        "no response",
                        "line ends",
                        "interim responses",
                        "chunk size",
                        "chunk extension",
                        "trailers",
                        "refusal",
                        "behind a response")
                .flatMap(place -> Stream.of(
                        Arguments.of(place, 0, "yes"), Arguments.of(place, 0, "no"), Arguments.of(place, 1, "yes")));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void theConnectionIsClosed(String place, int router, String repeatable) throws Exception {
        Sent sent = new Sent();
        FakeRunner.Script script = (call, socket) -> {
            if (call.path().equals("/other")) {
                FakeRunner.send(socket, "200 OK", "", "other");
                return;
            }
            FakeRunner.write(socket, beginning(place).formatted(call.header("x-mangowall-request")));
            sent.writeWithoutEnd(socket, unit(place));
        };
        try (FakeRunner runner = new FakeRunner(script);
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(1, runner.port()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            caller.send(RawCaller.plain("GET", "/endless", "")
                    .replace("\r\n\r\n", "\r\nx-repeatable: " + repeatable + "\r\nconnection: close\r\n\r\n"));
            assertEquals(
                    "other", fleet.post(router, "/services/register/other", "").body());
            String answer = caller.readToEnd();
            assertTrue(answer.startsWith("HTTP/1.1 " + expectedStatus(place)), answer);
            sent.assertBounded();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, 200 OK, transfer-encoding: chunked",
        "0, 200 OK, content-length: 999999999",
        "0, 500 Internal Server Error, content-length: 999999999",
        "0, 200 OK, connection: close",
        "1, 200 OK, content-length: 999999999",
        "1, 500 Internal Server Error, connection: close"
    })
    void aBodyIsReadAtThePaceOfItsCaller(int router, String status, String framing) throws Exception {
        Sent sent = new Sent();
        FakeRunner.Script script = (call, socket) -> {
            if (call.path().equals("/other")) {
                FakeRunner.send(socket, "200 OK", "", "other");
                return;
            }
            FakeRunner.write(socket, "HTTP/1.1 " + status + "\r\n" + framing + "\r\n\r\n");
            sent.writeWithoutEnd(socket, framing.endsWith("chunked") ? "4\r\nxxxx\r\n" : "x");
        };
        try (FakeRunner runner = new FakeRunner(script);
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(1, runner.port()))) {
            try (RawCaller caller =
                    RawCaller.withSmallBuffer(fleet.router(router).callerPort())) {
                caller.send(RawCaller.plain("GET", "/endless", "")).readUntil("xxxx");
                for (int call = 0; call < 100; call++) {
                    HttpResponse<String> other = fleet.post(router, "/services/register/other", "");
                    assertEquals("other", other.body());
                }
                int bytes = sent.soFar.get();
                assertTrue(bytes < MAXIMUM_BYTES, "the router read " + bytes + " bytes");
            }
        }
    }

    /** A load report is short, so that a longer answer isn't kept. */
    @ParameterizedTest
    @CsvSource({"transfer-encoding: chunked", "content-length: 999999999", "connection: close"})
    void aLoadReportWithoutEndIsNotRead(String framing) throws Exception {
        Sent sent = new Sent();
        String report = "{\"started_at_millis\":1,\"running\":1,\"completed\":0}";
        FakeRunner.Script script = (call, socket) -> {
            if (sent.all.isDone()) {
                FakeRunner.send(socket, "200 OK", "", report);
                return;
            }
            FakeRunner.write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            sent.writeWithoutEnd(socket, framing.endsWith("chunked") ? ("1000\r\n" + " ".repeat(4096) + "\r\n") : " ");
        };
        try (FakeRunner runner = new FakeRunner(script, script);
                TestLoadPoller poller = new TestLoadPoller(runner.port())) {
            poller.poll();
            sent.assertBounded();
            assertEquals(1, poller.pollUntilReported().running());
        }
    }
}
