package org.mangowall.benchmark.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.RequestDescription;

/**
 * Callers that send their next request when the last one has ended.
 *
 * <p>The costs of a workspace's requests are a fixed sequence for each seed, whatever the policy does. Most requests of
 * a workspace enter at one router.
 */
public final class ClosedLoopCallers implements FleetListener {

    private static final long THINKING_MICROSECONDS = 2_000;
    private static final long AFTER_REFUSAL_MICROSECONDS = 1_000_000;
    private static final double SHARE_OF_MAIN_ENTRY = 0.7;

    private final SimulatedFleet fleet;
    private final FleetShape shape;
    private final List<Source> sources = new ArrayList<>();
    private final Map<RequestIdentifier, Source> open = new HashMap<>();
    private final UniformRandomProvider entries;
    private long served;
    private long refused;
    private long failed;

    /** The callers of one workspace for one service. */
    private static final class Source {

        private final int workspaceIndex;
        private final WorkspaceName workspace;
        private final ServiceName service;
        private final CostSequence costs;

        private Source(int workspaceIndex, WorkspaceName workspace, ServiceName service, CostSequence costs) {
            this.workspaceIndex = workspaceIndex;
            this.workspace = workspace;
            this.service = service;
            this.costs = costs;
        }
    }

    /**
     * Makes the callers.
     *
     * @param meanCost the mean cost of a request
     * @param spread the standard deviation of the logarithm of costs
     */
    public ClosedLoopCallers(SimulatedFleet fleet, FleetShape shape, double meanCost, double spread, long seed) {
        this.fleet = fleet;
        this.shape = shape;
        this.entries = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        for (int service = 0; service < shape.services(); service++) {
            for (int index = 0; index < shape.workspaces(); index++) {
                CostSequence costs = new CostSequence(meanCost, spread, seed * 1_000_003 + index * 1_009L + service);
                sources.add(new Source(index, shape.workspace(index), shape.service(service), costs));
            }
        }
    }

    /** Starts a number of callers for each workspace and service, spread over a second. */
    public void start(int callers) {
        for (Source source : sources) {
            for (int number = 0; number < callers; number++) {
                fleet.line().after(entries.nextLong(1_000_000), () -> send(source));
            }
        }
    }

    /** Adds callers of one workspace at once. */
    public void add(int workspaceIndex, int callers) {
        for (Source source : sources) {
            if (source.workspaceIndex == workspaceIndex) {
                for (int number = 0; number < callers; number++) {
                    send(source);
                }
            }
        }
    }

    private void send(Source source) {
        RouterName entry = entryOf(source);
        if (fleet.core(entry) == null) {
            fleet.line().after(AFTER_REFUSAL_MICROSECONDS, () -> send(source));
            return;
        }
        RequestDescription template = new RequestDescription(
                new RequestIdentifier(entry, 1, 0), source.workspace, source.service, true, 0, 0, Duration.ZERO, 0);
        open.put(fleet.send(entry, template, source.costs.next()), source);
    }

    private RouterName entryOf(Source source) {
        boolean main = entries.nextDouble() < SHARE_OF_MAIN_ENTRY;
        int index = main ? source.workspaceIndex % shape.routers() : entries.nextInt(shape.routers());
        return shape.router(index);
    }

    @Override
    public void served(RequestRecord request) {
        served++;
    }

    @Override
    public void ended(RequestRecord request) {
        Source source = open.remove(request.description().identifier());
        if (source == null) {
            return;
        }
        boolean answered = request.started() > 0 && !request.isRefusedAsNotRun();
        refused += request.isRefusedAsNotRun() ? 1 : 0;
        failed += answered || request.isRefusedAsNotRun() ? 0 : 1;
        fleet.line().after(answered ? THINKING_MICROSECONDS : AFTER_REFUSAL_MICROSECONDS, () -> send(source));
    }

    /** The requests served to their end. */
    public long served() {
        return served;
    }

    /** The requests refused as not run. */
    public long refused() {
        return refused;
    }

    /** The requests that ended with neither an answer nor a refusal as not run. */
    public long failed() {
        return failed;
    }
}
