package org.mangowall.standin.plain;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.mangowall.standin.http.HttpExchange;
import org.mangowall.standin.runner.RunnerSimulator;
import org.mangowall.standin.runner.RunnerStandIn;
import org.mangowall.standin.runner.SideEffectLedger;
import org.mangowall.standin.runner.WorkSlot;

/**
 * Simulates a plain HTTP service that echoes the method, target and body of each request.
 *
 * <p>Requests with methods other than GET and HEAD have a side effect, which the ledger records when the work is done,
 * even if the caller has disconnected by then.
 */
public final class PlainServiceStandIn implements RunnerStandIn {

    private final PlainServiceSettings settings;
    private final SideEffectLedger ledger;
    private final RunnerSimulator simulator;

    private PlainServiceStandIn(
            PlainServiceSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.simulator = new RunnerSimulator(settings.runner(), eventLoop, clock, ledger, this::handle);
    }

    /** Starts a service whose state and connections are confined to the given event loop. */
    public static PlainServiceStandIn start(
            PlainServiceSettings settings, EventLoop eventLoop, Clock clock, SideEffectLedger ledger) {
        return new PlainServiceStandIn(settings, eventLoop, clock, ledger);
    }

    /** Returns the response body for a request. */
    public static String echo(String method, String target, String body) {
        return method + " " + target + "\n" + body;
    }

    @Override
    public int port() {
        return simulator.port();
    }

    private void handle(HttpExchange exchange) {
        simulator.admit(
                exchange,
                slot -> simulator.schedule(
                        () -> execute(exchange, slot), settings.workTime().toMillis()));
    }

    private void execute(HttpExchange exchange, WorkSlot slot) {
        if (!slot.isHeld()) {
            return;
        }
        String body = exchange.bodyText();
        if (hasSideEffect(exchange.method())) {
            ledger.record(
                    SideEffectLedger.nonceOf(body),
                    exchange.header("x-mangowall-request").orElse(""));
        }
        slot.release(true);
        if (simulator.consumeDroppedResponse()) {
            exchange.abort();
            return;
        }
        simulator.schedule(
                () -> exchange.respond(
                        200,
                        Map.of("content-type", "text/plain; charset=utf-8"),
                        echo(exchange.method(), exchange.target(), body).getBytes(StandardCharsets.UTF_8)),
                simulator.responseDelayMillis());
    }

    private static boolean hasSideEffect(String method) {
        return !method.equals("GET") && !method.equals("HEAD");
    }

    @Override
    public void close() {
        simulator.close();
    }
}
