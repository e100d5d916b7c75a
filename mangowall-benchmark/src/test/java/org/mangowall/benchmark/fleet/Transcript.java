package org.mangowall.benchmark.fleet;

import java.util.Locale;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.action.DecisionAction;

/** Records the decisions of the routers in a scenario as text. */
final class Transcript implements FleetListener {

    private static final double MICROSECONDS_PER_SECOND = 1e6;

    private final SimulatedFleet fleet;
    private final ClosedLoopCallers callers;
    private final StringBuilder text = new StringBuilder();
    private final TreeMap<String, Double> served = new TreeMap<>();

    Transcript(SimulatedFleet fleet, ClosedLoopCallers callers) {
        this.fleet = fleet;
        this.callers = callers;
    }

    void note(String line) {
        text.append(String.format(Locale.ROOT, "%8.3f ", fleet.scheduler().now() / MICROSECONDS_PER_SECOND))
                .append(line)
                .append('\n');
    }

    @Override
    public void actionDecided(RouterName router, DecisionAction action) {
        switch (action) {
            case DecisionAction.PassToHome pass ->
                note(router + " passes " + pass.request().identifier() + " to " + pass.home() + ", " + pass.reason());
            case DecisionAction.SendToRunner send ->
                note(router + " sends "
                        + send.request().identifier() + " of " + send.request().workspace() + " to " + send.runner()
                        + ", "
                        + send.reason());
            case DecisionAction.RefuseRequest refusal ->
                note(router + " refuses " + refusal.request() + ", " + refusal.code() + ", retry after "
                        + refusal.retryAfter());
            case DecisionAction.ReleaseToEntry release ->
                note(router + " releases "
                        + release.request().identifier() + ", " + release.reason()
                        + release.moveTo().map(target -> " to " + target).orElse(""));
            case DecisionAction.SendPull pull ->
                note(router + " pulls " + pull.slots() + " of " + pull.service() + " from " + pull.to());
            case DecisionAction.CancelAtRunner cancel ->
                note(router + " cancels " + cancel.request() + " at " + cancel.runner());
            case DecisionAction.CancelAtHome cancel ->
                note(router + " cancels " + cancel.request() + " at " + cancel.home());
            case DecisionAction.SendExchange exchange -> {
                // exchanges are omitted because there are many; their effect shows in the order of the requests
            }
            case DecisionAction.RequestCounters request -> note(router + " asks " + request.to() + " for counters");
            case DecisionAction.SendCounters counters -> note(router + " sends counters to " + counters.to());
        }
    }

    @Override
    public void sent(RequestRecord request) {
        callers.sent(request);
    }

    @Override
    public void served(RequestRecord request) {
        served.merge(request.description().workspace().value(), request.cost(), Double::sum);
        callers.served(request);
    }

    @Override
    public void ended(RequestRecord request) {
        callers.ended(request);
    }

    /** Returns the recorded decisions, the cost served per workspace, and the overloads and crashes of runners. */
    String text() {
        StringBuilder complete = new StringBuilder(text);
        served.forEach(
                (workspace, cost) -> complete.append(String.format(Locale.ROOT, "served %s %.0f%n", workspace, cost)));
        int overloads =
                fleet.runners().stream().mapToInt(SimulatedRunner::overloads).sum();
        int crashes =
                fleet.runners().stream().mapToInt(SimulatedRunner::crashes).sum();
        complete.append("overloads ")
                .append(overloads)
                .append(", crashes ")
                .append(crashes)
                .append('\n');
        return complete.toString();
    }
}
