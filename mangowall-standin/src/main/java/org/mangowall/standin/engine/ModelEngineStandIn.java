package org.mangowall.standin.engine;

import java.time.Clock;
import java.util.List;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.mangowall.standin.http.HttpCall;
import org.mangowall.standin.runner.RunnerProcess;
import org.mangowall.standin.runner.RunnerStandIn;
import org.mangowall.standin.runner.SideEffectLedger;
import org.mangowall.standin.runner.WorkSlot;

/** A model engine that batches continuously: each request in a slot gets its tokens at an even pace. */
public final class ModelEngineStandIn implements RunnerStandIn {

    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String RESUME_HEADER = "x-resume-after-tokens";

    private final ModelEngineSettings settings;
    private final SideEffectLedger ledger;
    private final RunnerProcess process;

    private ModelEngineStandIn(
            ModelEngineSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.process = new RunnerProcess(settings.runner(), eventLoop, clock, ledger, this::handle);
    }

    /** Starts an engine whose state and calls all live on the given event loop. */
    public static ModelEngineStandIn start(
            ModelEngineSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        return new ModelEngineStandIn(settings, eventLoop, clock, ledger);
    }

    @Override
    public int port() {
        return process.port();
    }

    private void handle(HttpCall call) {
        if (!call.path().equals(COMPLETIONS_PATH) || !call.method().equals("POST")) {
            call.answerText(404, "an engine has " + COMPLETIONS_PATH);
            return;
        }
        ChatRequest request = ChatRequest.parse(call.body()).resumedAfter(call.header(RESUME_HEADER));
        process.admit(call, slot -> begin(call, request, slot));
    }

    private void begin(HttpCall call, ChatRequest request, WorkSlot slot) {
        call.whenGone(() -> slot.finish(false));
        ledger.record(
                SideEffectLedger.nonceOf(request.prompt()),
                call.header("x-mangowall-request").orElse(""));
        List<String> tokens = ModelAnswer.tokens(request.prompt(), request.maximumTokens());
        long firstMillis = settings.timeToFirstToken().toMillis() + process.lateAnswerMillis();
        if (request.stream()) {
            TokenStream stream = new TokenStream(call, request, slot, tokens);
            process.schedule(stream::begin, firstMillis);
            return;
        }
        long restMillis = settings.timeBetweenTokens().toMillis() * (tokens.size() - 1);
        process.schedule(() -> answerWhole(call, request, slot, tokens), firstMillis + restMillis);
    }

    private void answerWhole(HttpCall call, ChatRequest request, WorkSlot slot, List<String> tokens) {
        if (!slot.isHeld()) {
            return;
        }
        slot.finish(true);
        if (process.takeLostAnswer()) {
            call.abort();
            return;
        }
        ChatEvents events = new ChatEvents(request);
        call.answerJson(200, events.whole(String.join("", tokens), tokens.size()));
    }

    @Override
    public void close() {
        process.close();
    }

    /** The stream of one answer. */
    private final class TokenStream {

        private final HttpCall call;
        private final WorkSlot slot;
        private final List<String> tokens;
        private final ChatEvents events;
        private final int resumedAfter;
        private int sent;

        TokenStream(HttpCall call, ChatRequest request, WorkSlot slot, List<String> tokens) {
            this.call = call;
            this.slot = slot;
            this.tokens = tokens;
            this.events = new ChatEvents(request);
            this.sent = Math.min(request.resumeAfterTokens(), tokens.size());
            this.resumedAfter = sent;
        }

        void begin() {
            if (!slot.isHeld()) {
                return;
            }
            call.beginStream(200, Map.of("content-type", "text/event-stream"));
            if (sent == tokens.size()) {
                end();
                return;
            }
            sendToken();
        }

        private void sendToken() {
            if (!slot.isHeld()) {
                return;
            }
            call.writePiece(events.tokenEvent(tokens.get(sent)));
            sent++;
            if (sent < tokens.size()) {
                process.schedule(this::sendToken, settings.timeBetweenTokens().toMillis());
                return;
            }
            end();
        }

        private void end() {
            slot.finish(true);
            if (process.takeLostAnswer()) {
                call.abort();
                return;
            }
            call.writePiece(events.usageEvent(tokens.size() - resumedAfter));
            call.writePiece(ChatEvents.doneEvent());
            call.endStream();
        }
    }
}
