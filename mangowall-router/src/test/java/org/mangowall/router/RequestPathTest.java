package org.mangowall.router;

import java.net.http.HttpResponse;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestPathTest {

    private static final String CHAT = "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private static FakeRunner streamingRunner() throws java.io.IOException {
        return new FakeRunner((call, socket) -> {
            FakeRunner.write(
                    socket, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
            FakeRunner.writeChunk(socket, "data: {\"text\":\"one\"}\n\n");
            FakeRunner.writeChunk(socket, "data: {\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":2}}\n\n");
            FakeRunner.writeChunk(socket, "data: [DONE]\n\n");
            FakeRunner.write(socket, "0\r\n\r\n");
        });
    }

    @Test
    void everyRouterForwardsPlainCallsToTheOnlyRunner() throws Exception {
        try (FakeRunner model = streamingRunner();
                FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = TestFleet.of(3, TestFleet.inventory(model.port(), plain.port()))) {
            for (int router = 0; router < fleet.size(); router++) {
                HttpResponse<String> answer = fleet.post(router, "/services/register/entries?a=1", "body " + router);
                assertEquals(200, answer.statusCode(), answer.body());
                assertEquals("/entries?a=1 body " + router, answer.body());
                assertEquals("yes", answer.headers().firstValue("x-echo").orElse(""));
                assertEquals(
                        "complete",
                        answer.headers().firstValue("x-mangowall-outcome").orElse(""));
                assertEquals(
                        "register-1",
                        answer.headers().firstValue("x-mangowall-runner").orElse(""));
                assertEquals("school", plain.calls().get(router).header("x-workspace"));
            }
            assertEquals(3, plain.calls().size());
        }
    }

    @Test
    void everyRouterStreamsAModelsAnswer() throws Exception {
        try (FakeRunner model = streamingRunner();
                FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = TestFleet.of(3, TestFleet.inventory(model.port(), plain.port()))) {
            for (int router = 0; router < fleet.size(); router++) {
                HttpResponse<String> answer = fleet.post(router, "/v1/chat/completions", CHAT);
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().startsWith("data: {\"text\":\"one\"}"), answer.body());
                assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
            }
            assertEquals(CHAT, model.calls().get(0).text());
        }
    }
}
