package org.mangowall.standin.engine;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.standin.HttpProbe;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.runner.RunnerStandInSettings;
import org.mangowall.standin.runner.SideEffectLedger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ModelEngineStandInTest {

    private static final String PATH = "/v1/chat/completions";
    private static final String PROMPT = "nonce=abc write a debrief";

    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final SideEffectLedger ledger = new SideEffectLedger();
    private ModelEngineStandIn engine;
    private HttpProbe probe;

    @BeforeEach
    void startEngine() {
        RunnerStandInSettings runner = new RunnerStandInSettings(
                "127.0.0.1", 0, 8, 2, Duration.ofSeconds(10), 1.0, Duration.ZERO, Duration.ofMillis(1));
        engine = ModelEngineStandIn.start(
                new ModelEngineSettings(runner, Duration.ofMillis(1), Duration.ofMillis(1)),
                eventLoops.next(),
                clock,
                ledger);
        probe = new HttpProbe(engine.port());
    }

    @AfterEach
    void stopEngine() {
        engine.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void completionIsDerivedFromTheRequest() throws Exception {
        HttpResponse<String> response = probe.call("POST", PATH, body(false));
        String expected = DeterministicCompletion.text(PROMPT, 8);
        assertEquals(expected, contentOf(response));
        assertEquals(1, ledger.executionCount("abc"));
    }

    @Test
    void streamContainsAllTokensThenUsageThenDone() throws Exception {
        String events = probe.call("POST", PATH, body(true)).body();
        List<String> tokens = DeterministicCompletion.tokens(PROMPT, 8);
        assertEquals(tokens.size() + 2, events.split("\n\n").length);
        assertTrue(events.contains("\"completion_tokens\":" + tokens.size()), events);
        assertTrue(events.endsWith("data: [DONE]\n\n"), events);
    }

    @Test
    void resumedStreamOmitsTokensAlreadyReceived() throws Exception {
        String events = probe.call("POST", PATH, body(true), "x-resume-after-tokens", "1")
                .body();
        int remainingTokens = DeterministicCompletion.tokens(PROMPT, 8).size() - 1;
        assertEquals(remainingTokens + 2, events.split("\n\n").length);
        assertTrue(events.contains("\"completion_tokens\":" + remainingTokens), events);
    }

    @Test
    void invalidResumePositionIsRejected() throws Exception {
        assertEquals(
                400,
                probe.call("POST", PATH, body(true), "x-resume-after-tokens", "-1")
                        .statusCode());
    }

    @Test
    void coldEngineCrashesWhenOverloaded() throws Exception {
        assertEquals(200, control("{\"late_answer_millis\": 600000}").statusCode());
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            calls.add(probe.begin("POST", PATH, body(true)));
        }
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            assertThrows(ExecutionException.class, call::get);
        }
        assertTrue(control("{\"late_answer_millis\": 0}").body().contains("\"overloads\":1"));
    }

    @Test
    void warmEngineQueuesExcessRequests() throws Exception {
        clock.advance(Duration.ofSeconds(10));
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            calls.add(probe.begin("POST", PATH, body(true)));
        }
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            assertEquals(200, call.get().statusCode());
        }
    }

    @Test
    void coldRestartChangesTheReportedStartTime() throws Exception {
        clock.advance(Duration.ofSeconds(20));
        control("{\"cold_restart\": true}");
        String load = "";
        while (!load.contains("\"started_at_millis\":20000")) {
            load = probe.call("GET", "/load", "").body();
        }
        assertTrue(control("{}").body().contains("\"bearable\":2"));
    }

    @Test
    void newConnectionsWorkWhileOldOnesAreSilenced() throws Exception {
        probe.call("GET", "/load", "");
        control("{\"silence_connections\": true, \"late_answer_millis\": 0}");
        assertEquals(200, new HttpProbe(engine.port()).call("GET", "/load", "").statusCode());
    }

    private HttpResponse<String> control(String document) throws Exception {
        return new HttpProbe(engine.port()).call("PUT", "/control", document);
    }

    private static String contentOf(HttpResponse<String> response) {
        return Json.read(response.body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .at("/choices/0/message/content")
                .asText();
    }

    private static String body(boolean stream) {
        return "{\"model\":\"moniteur\",\"max_tokens\":8,\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + PROMPT + "\"}]}";
    }
}
