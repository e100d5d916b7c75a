package org.mangowall.router;

import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against cut answers that count as complete: answers without a length and without chunks, as seen by a caller
 * of the home router (0) and by a caller of another router (1).
 */
class UndelimitedAnswerTest {

    private static final String CHAT = "{\"model\":\"writer\",\"messages\":[]}";
    private static final String EVENTS = "text/event-stream";
    private static final String JSON = "application/json";
    private static final String COMPLETE = "x-mangowall-outcome: complete";

    private static void respond(Socket socket, String contentType, String body) throws IOException {
        FakeRunner.write(socket, "HTTP/1.1 200 OK\r\ncontent-type: " + contentType + "\r\n\r\n" + body);
    }

    private static String exchange(int router, String request, FakeRunner.Script script) throws Exception {
        FakeRunner.Script closing = (call, socket) -> {
            script.answer(call, socket);
            socket.close();
        };
        try (FakeRunner model = new FakeRunner(closing);
                FakeRunner plain = new FakeRunner(closing);
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(model.port(), plain.port()));
                RawCaller caller = new RawCaller(fleet.router(router).callerPort())) {
            return caller.send(request.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n"))
                    .readToEnd();
        }
    }

    private static String callPlain(int router, FakeRunner.Script script) throws Exception {
        return exchange(router, RawCaller.plain("POST", "/entries", "one"), script);
    }

    private static String callModel(int router, FakeRunner.Script script) throws Exception {
        return exchange(router, RawCaller.chat(CHAT), script);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aWholeAnswerIsComplete(int router) throws Exception {
        String events = callPlain(router, (call, socket) -> respond(socket, EVENTS, "data: one\n\n"));
        assertTrue(events.contains(COMPLETE), events);
        String document = callModel(router, (call, socket) -> respond(socket, JSON, "{\"choices\":[]}"));
        assertTrue(document.contains(COMPLETE), document);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamThatEndsInsideAnEventIsAborted(int router) throws Exception {
        String answer = callPlain(router, (call, socket) -> respond(socket, EVENTS, "data: one\n\ndata: tw"));
        assertTrue(answer.contains("data: one"), answer);
        assertFalse(answer.contains(COMPLETE), answer);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aDocumentThatEndsBeforeItsLastBraceIsAborted(int router) throws Exception {
        String answer = callModel(router, (call, socket) -> respond(socket, JSON, "{\"choices\":["));
        assertFalse(answer.contains(COMPLETE), answer);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void anAnswerThatEndsBeforeItBeginsIsAborted(int router) throws Exception {
        String stream = callPlain(router, (call, socket) -> respond(socket, EVENTS, ""));
        assertFalse(stream.contains(COMPLETE), stream);
        String document = callModel(router, (call, socket) -> respond(socket, JSON, ""));
        assertFalse(document.contains(COMPLETE), document);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void anAnswerWhoseConnectionIsResetIsAborted(int router) throws Exception {
        String answer = callPlain(router, (call, socket) -> {
            respond(socket, EVENTS, "data: one\n\n");
            socket.setSoLinger(true, 0);
        });
        assertFalse(answer.contains(COMPLETE), answer);
    }
}
