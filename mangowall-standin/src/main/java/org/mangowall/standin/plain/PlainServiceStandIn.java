package org.mangowall.standin.plain;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.mangowall.standin.http.HttpCall;
import org.mangowall.standin.runner.RunnerProcess;
import org.mangowall.standin.runner.RunnerStandIn;
import org.mangowall.standin.runner.SideEffectLedger;
import org.mangowall.standin.runner.WorkSlot;

/**
 * A plain service that answers any call with an echo of its method, path and body.
 *
 * <p>Calls of other methods than GET and HEAD have a side effect, which the ledger notes when the work is done, also
 * when the caller has gone away meanwhile.
 */
public final class PlainServiceStandIn implements RunnerStandIn {

    private final PlainServiceSettings settings;
    private final SideEffectLedger ledger;
    private final RunnerProcess process;

    private PlainServiceStandIn(
            PlainServiceSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.process = new RunnerProcess(settings.runner(), eventLoop, clock, ledger, this::handle);
    }

    /** Starts a service whose state and calls all live on the given event loop. */
    public static PlainServiceStandIn start(
            PlainServiceSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        return new PlainServiceStandIn(settings, eventLoop, clock, ledger);
    }

    /** The answer to a call. */
    public static String echo(String method, String target, String body) {
        return method + " " + target + "\n" + body;
    }

    @Override
    public int port() {
        return process.port();
    }

    private void handle(HttpCall call) {
        process.admit(
                call,
                slot -> process.schedule(
                        () -> execute(call, slot), settings.workTime().toMillis()));
    }

    private void execute(HttpCall call, WorkSlot slot) {
        if (!slot.isHeld()) {
            return;
        }
        String body = call.bodyText();
        if (hasSideEffect(call.method())) {
            ledger.record(
                    SideEffectLedger.nonceOf(body),
                    call.header("x-mangowall-request").orElse(""));
        }
        slot.finish(true);
        if (process.takeLostAnswer()) {
            call.abort();
            return;
        }
        process.schedule(
                () -> call.answer(
                        200,
                        Map.of("content-type", "text/plain; charset=utf-8"),
                        echo(call.method(), call.target(), body).getBytes(StandardCharsets.UTF_8)),
                process.lateAnswerMillis());
    }

    private static boolean hasSideEffect(String method) {
        return !method.equals("GET") && !method.equals("HEAD");
    }

    @Override
    public void close() {
        process.close();
    }
}
