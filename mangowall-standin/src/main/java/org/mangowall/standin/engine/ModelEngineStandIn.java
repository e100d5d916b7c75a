package org.mangowall.standin.engine;

import java.time.Clock;
import java.util.List;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.mangowall.standin.http.HttpExchange;
import org.mangowall.standin.runner.RunnerSimulator;
import org.mangowall.standin.runner.RunnerStandIn;
import org.mangowall.standin.runner.SideEffectLedger;
import org.mangowall.standin.runner.WorkSlot;

/** Simulates a model engine with continuous batching: each request in a slot gets its tokens at a constant rate. */
public final class ModelEngineStandIn implements RunnerStandIn {

    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String RESUME_HEADER = "x-resume-after-tokens";

    private final ModelEngineSettings settings;
    private final SideEffectLedger ledger;
    private final RunnerSimulator simulator;

    private ModelEngineStandIn(
            ModelEngineSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.simulator = new RunnerSimulator(settings.runner(), eventLoop, clock, ledger, this::handle);
    }

    /** Starts an engine whose state and connections are confined to the given event loop. */
    public static ModelEngineStandIn start(
            ModelEngineSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        return new ModelEngineStandIn(settings, eventLoop, clock, ledger);
    }

    @Override
    public int port() {
        return simulator.port();
    }

    private void handle(HttpExchange exchange) {
        if (!exchange.path().equals(COMPLETIONS_PATH) || !exchange.method().equals("POST")) {
            exchange.respondText(404, "an engine has " + COMPLETIONS_PATH);
            return;
        }
        ChatRequest request = ChatRequest.parse(exchange.body()).withResumeHeader(exchange.header(RESUME_HEADER));
        simulator.admit(exchange, slot -> begin(exchange, request, slot));
    }

    private void begin(HttpExchange exchange, ChatRequest request, WorkSlot slot) {
        exchange.onClose(() -> slot.release(false));
        ledger.record(
                SideEffectLedger.nonceOf(request.prompt()),
                exchange.header("x-mangowall-request").orElse(""));
        List<String> tokens = DeterministicCompletion.tokens(request.prompt(), request.maximumTokens());
        long firstTokenMillis = settings.timeToFirstToken().toMillis() + simulator.responseDelayMillis();
        if (request.stream()) {
            TokenStream stream = new TokenStream(exchange, request, slot, tokens);
            simulator.schedule(stream::begin, firstTokenMillis);
            return;
        }
        long remainingTokensMillis = settings.timeBetweenTokens().toMillis() * (tokens.size() - 1);
        simulator.schedule(
                () -> respondWithCompletion(exchange, request, slot, tokens), firstTokenMillis + remainingTokensMillis);
    }

    private void respondWithCompletion(HttpExchange exchange, ChatRequest request, WorkSlot slot, List<String> tokens) {
        if (!slot.isHeld()) {
            return;
        }
        slot.release(true);
        if (simulator.consumeDroppedResponse()) {
            exchange.abort();
            return;
        }
        ChatCompletionWriter writer = new ChatCompletionWriter(request);
        exchange.respondJson(200, writer.completion(String.join("", tokens), tokens.size()));
    }

    @Override
    public void close() {
        simulator.close();
    }

    /** Streams the tokens of one completion. */
    private final class TokenStream {

        private final HttpExchange exchange;
        private final WorkSlot slot;
        private final List<String> tokens;
        private final ChatCompletionWriter writer;
        private final int firstTokenIndex;
        private int nextTokenIndex;

        TokenStream(HttpExchange exchange, ChatRequest request, WorkSlot slot, List<String> tokens) {
            this.exchange = exchange;
            this.slot = slot;
            this.tokens = tokens;
            this.writer = new ChatCompletionWriter(request);
            this.nextTokenIndex = Math.min(request.resumeAfterTokens(), tokens.size());
            this.firstTokenIndex = nextTokenIndex;
        }

        void begin() {
            if (!slot.isHeld()) {
                return;
            }
            exchange.startStream(200, Map.of("content-type", "text/event-stream"));
            if (nextTokenIndex == tokens.size()) {
                end();
                return;
            }
            sendToken();
        }

        private void sendToken() {
            if (!slot.isHeld()) {
                return;
            }
            exchange.writeChunk(writer.tokenEvent(tokens.get(nextTokenIndex)));
            nextTokenIndex++;
            if (nextTokenIndex < tokens.size()) {
                simulator.schedule(this::sendToken, settings.timeBetweenTokens().toMillis());
                return;
            }
            end();
        }

        private void end() {
            slot.release(true);
            if (simulator.consumeDroppedResponse()) {
                exchange.abort();
                return;
            }
            exchange.writeChunk(writer.usageEvent(tokens.size() - firstTokenIndex));
            exchange.writeChunk(ChatCompletionWriter.doneEvent());
            exchange.endStream();
        }
    }
}
