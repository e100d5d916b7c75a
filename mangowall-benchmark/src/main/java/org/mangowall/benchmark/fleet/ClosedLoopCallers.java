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
 * Callers that send their next request after the previous one has ended.
 *
 * <p>The request costs of a workspace depend only on the seed, not on the policy, so that policies are comparable. Most
 * requests of a workspace enter at its main router.
 */
public final class ClosedLoopCallers implements FleetListener {

    private static final long THINK_TIME_MICROSECONDS = 2_000;
    private static final long RETRY_DELAY_MICROSECONDS = 1_000_000;
    private static final double MAIN_ENTRY_SHARE = 0.7;

    private final SimulatedFleet fleet;
    private final FleetLayout layout;
    private final List<Source> sources = new ArrayList<>();
    private final Map<RequestIdentifier, Source> openRequests = new HashMap<>();
    private final UniformRandomProvider entryRandom;
    private long served;
    private long refused;
    private long failed;

    /** Source of requests of one workspace for one service. */
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
     * Creates the request sources without starting any caller.
     *
     * @param meanCost the mean cost of a request
     * @param spread the standard deviation of the logarithm of costs
     */
    public ClosedLoopCallers(SimulatedFleet fleet, FleetLayout layout, double meanCost, double spread, long seed) {
        this.fleet = fleet;
        this.layout = layout;
        this.entryRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        for (int service = 0; service < layout.services(); service++) {
            for (int index = 0; index < layout.workspaces(); index++) {
                CostSequence costs = new CostSequence(meanCost, spread, seed * 1_000_003 + index * 1_009L + service);
                sources.add(new Source(index, layout.workspace(index), layout.service(service), costs));
            }
        }
    }

    /** Starts the given number of callers per workspace and service, at random times within one second. */
    public void start(int callers) {
        for (Source source : sources) {
            for (int number = 0; number < callers; number++) {
                fleet.scheduler().after(entryRandom.nextLong(1_000_000), () -> send(source));
            }
        }
    }

    /** Starts the given number of callers of one workspace immediately, for each service. */
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
        RouterName entry = chooseEntry(source);
        if (fleet.core(entry) == null) {
            fleet.scheduler().after(RETRY_DELAY_MICROSECONDS, () -> send(source));
            return;
        }
        RequestDescription template = new RequestDescription(
                new RequestIdentifier(entry, 1, 0), source.workspace, source.service, true, 0, 0, Duration.ZERO, 0);
        openRequests.put(fleet.send(entry, template, source.costs.next()), source);
    }

    private RouterName chooseEntry(Source source) {
        boolean usesMainEntry = entryRandom.nextDouble() < MAIN_ENTRY_SHARE;
        int index = usesMainEntry ? source.workspaceIndex % layout.routers() : entryRandom.nextInt(layout.routers());
        return layout.router(index);
    }

    @Override
    public void served(RequestRecord request) {
        served++;
    }

    @Override
    public void ended(RequestRecord request) {
        Source source = openRequests.remove(request.description().identifier());
        if (source == null) {
            return;
        }
        boolean answered = request.startCount() > 0 && !request.isRefusedAsNotRun();
        refused += request.isRefusedAsNotRun() ? 1 : 0;
        failed += answered || request.isRefusedAsNotRun() ? 0 : 1;
        fleet.scheduler().after(answered ? THINK_TIME_MICROSECONDS : RETRY_DELAY_MICROSECONDS, () -> send(source));
    }

    /** Returns the number of requests that runners completed. */
    public long served() {
        return served;
    }

    /** Returns the number of requests refused as not run. */
    public long refused() {
        return refused;
    }

    /** Returns the number of requests that ended with neither an answer nor a refusal as not run. */
    public long failed() {
        return failed;
    }
}
