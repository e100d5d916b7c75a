package org.mangowall.router;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Failures of runners, as seen by a caller of the home router (0) and by a caller of another router (1). */
class RunnerFailureTest {

    private static final String CHAT = "{\"model\":\"writer\",\"messages\":[],\"stream\":true}";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

    private static void assertOutcome(int status, String code, String outcome, HttpResponse<String> answer) {
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
        assertEquals(outcome, answer.headers().firstValue("x-mangowall-outcome").orElse(""));
        assertEquals(
                "application/problem+json",
                answer.headers().firstValue("content-type").orElse(""));
    }

    private static int closedPort() throws IOException {
        try (FakeRunner runner = FakeRunner.echo()) {
            return runner.port();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void anUnreachableRunnerGivesNotRun(int router) throws Exception {
        try (TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), closedPort()))) {
            assertOutcome(503, "retries-exhausted", "not-run", fleet.post(router, "/services/register/entries", "one"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aCallThatTheRunnerDeclaresNotRunGivesNotRun(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) ->
                        FakeRunner.send(socket, "503 Service Unavailable", "x-not-run: yes\r\n", "busy"));
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            assertOutcome(503, "retries-exhausted", "not-run", fleet.post(router, "/services/register/entries", "one"));
        }
    }

    /** A runner in trouble may send bytes without end until the router closes the connection. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aRejectionWithoutEndGivesNotRun(int router) throws Exception {
        int maxChunks = 4_096;
        AtomicInteger chunks = new AtomicInteger();
        try (FakeRunner plain = new FakeRunner((call, socket) -> {
                    chunks.set(0);
                    FakeRunner.write(
                            socket,
                            "HTTP/1.1 503 Service Unavailable\r\nx-not-run: yes\r\ntransfer-encoding: chunked\r\n\r\n");
                    while (chunks.incrementAndGet() < maxChunks) {
                        FakeRunner.writeChunk(socket, "x".repeat(16_384));
                    }
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            assertOutcome(503, "retries-exhausted", "not-run", fleet.post(router, "/services/register/entries", "one"));
            assertTrue(chunks.get() < maxChunks, "the router read the whole body");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aLostConnectionGivesUnknownAfterOneAttempt(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) -> socket.close());
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            assertOutcome(
                    502, "runner-connection-lost", "unknown", fleet.post(router, "/services/register/entries", "one"));
            assertEquals(1, plain.calls().size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aSilentRunnerGivesUnknownAfterOneAttemptAndAClosedConnection(int router) throws Exception {
        CompletableFuture<Integer> nextByte = new CompletableFuture<>();
        try (FakeRunner plain = new FakeRunner((call, socket) -> nextByte.complete(readByte(socket)));
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            assertOutcome(504, "runner-timeout", "unknown", fleet.post(router, "/services/register/entries", "one"));
            assertEquals(-1, nextByte.get(10, TimeUnit.SECONDS));
            assertEquals(1, plain.calls().size());
        }
    }

    private static int readByte(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException reset) {
            return -1;
        }
    }

    private static void assertStreamAborted(int router, FakeRunner.Script script) throws Exception {
        try (FakeRunner model = new FakeRunner(script);
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(model.port(), closedPort()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            String answer = caller.send(RawCaller.chat(CHAT)).readToEnd();
            assertTrue(answer.startsWith("HTTP/1.1 200 OK"), answer);
            assertTrue(answer.contains("data: one"), answer);
            assertTrue(answer.contains("event: error\ndata: {"), answer);
            assertTrue(answer.contains("\"outcome\":\"unknown\""), answer);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(1, model.calls().size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamWhoseConnectionIsLostIsAborted(int router) throws Exception {
        assertStreamAborted(router, (call, socket) -> {
            FakeRunner.write(socket, STREAM_HEAD);
            FakeRunner.writeChunk(socket, "data: one\n\n");
            socket.close();
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamWithoutItsLastEventIsAborted(int router) throws Exception {
        assertStreamAborted(router, (call, socket) -> {
            FakeRunner.write(socket, STREAM_HEAD);
            FakeRunner.writeChunk(socket, "data: one\n\n");
            FakeRunner.write(socket, "0\r\n\r\n");
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStalledStreamIsAborted(int router) throws Exception {
        assertStreamAborted(router, (call, socket) -> {
            FakeRunner.write(socket, STREAM_HEAD);
            FakeRunner.writeChunk(socket, "data: one\n\n");
            readByte(socket);
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aLargeBodyShorterThanItsLengthIsAborted(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) -> {
                    FakeRunner.write(socket, "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nhalf");
                    socket.close();
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            String answer =
                    caller.send(RawCaller.plain("POST", "/entries", "one")).readToEnd();
            assertTrue(answer.contains("content-length: 100000"), answer);
            assertFalse(answer.contains("x-mangowall-outcome: complete"), answer);
            assertTrue(answer.endsWith("\r\n\r\nhalf"), answer);
            assertEquals(1, plain.calls().size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aSmallBodyShorterThanItsLengthGivesUnknownAfterOneAttempt(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) -> {
                    FakeRunner.write(socket, "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
                    socket.close();
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            assertOutcome(
                    502, "runner-connection-lost", "unknown", fleet.post(router, "/services/register/entries", "one"));
            assertEquals(1, plain.calls().size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamReportsItsOutcomeInTheTrailer(int router) throws Exception {
        try (FakeRunner model = new FakeRunner((call, socket) -> {
                    FakeRunner.write(socket, STREAM_HEAD);
                    FakeRunner.writeChunk(socket, "data: [DONE]\n\n");
                    FakeRunner.write(socket, "0\r\n\r\n");
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(model.port(), closedPort()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            caller.send(RawCaller.chat(CHAT));
            String head = caller.readUntil("\r\n\r\n");
            assertTrue(head.contains("trailer: x-mangowall-outcome"), head);
            assertFalse(head.contains("x-mangowall-outcome: complete"), head);
            String body = caller.readUntil("\r\n0\r\nx-mangowall-outcome: complete\r\n\r\n");
            assertTrue(body.contains("data: [DONE]"), body);
        }
    }

    @Test
    void aBodyAnnouncedAsTooLargeIsRefusedBeforeItIsSent() throws Exception {
        try (TestFleet fleet = TestFleet.of(1, TestFleet.inventory(closedPort(), closedPort()));
                RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
            caller.send("POST /services/register/entries HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\n"
                    + "expect: 100-continue\r\ncontent-length: 999999999\r\n\r\n");
            String answer = caller.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
            assertTrue(answer.contains("\"code\":\"body-too-large\""), answer);
            assertTrue(answer.contains("x-mangowall-outcome: not-run"), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aDisconnectedCallerEndsTheCallAtTheModel(int router) throws Exception {
        CompletableFuture<Integer> nextByte = new CompletableFuture<>();
        try (FakeRunner model = new FakeRunner((call, socket) -> {
                    FakeRunner.write(socket, STREAM_HEAD);
                    FakeRunner.writeChunk(socket, "data: one\n\n");
                    nextByte.complete(readByte(socket));
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(model.port(), closedPort()))) {
            try (RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
                caller.send(RawCaller.chat(CHAT)).readUntil("data: one\n\n");
            }
            assertEquals(-1, nextByte.get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void redirectsAreForwardedToTheCaller() throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) ->
                        FakeRunner.send(socket, "302 Found", "location: /services/register/other\r\n", ""));
                TestFleet fleet = TestFleet.of(1, TestFleet.inventory(closedPort(), plain.port()))) {
            HttpResponse<String> answer = fleet.post(0, "/services/register/entries", "one");
            assertEquals(302, answer.statusCode());
            assertEquals(1, plain.calls().size());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void repeatableCallsSucceedWhenTheRunnerClosesConnections(int router) throws Exception {
        try (FakeRunner plain = new FakeRunner((call, socket) -> {
                    FakeRunner.send(socket, "200 OK", "", call.path());
                    socket.close();
                });
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(closedPort(), plain.port()))) {
            for (int call = 0; call < 20; call++) {
                HttpResponse<String> answer = fleet.client()
                        .send(
                                fleet.request(router, "/services/register/page" + call)
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                assertEquals("/page" + call, answer.body());
            }
        }
    }
}
