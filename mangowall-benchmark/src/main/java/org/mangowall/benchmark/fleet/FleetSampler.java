package org.mangowall.benchmark.fleet;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/** Samples the state of a simulated fleet independently of its decision cores. */
public final class FleetSampler implements FleetListener {

    private final SimulatedFleet fleet;
    private final FleetLayout layout;
    private final Map<WorkspaceName, Integer> workspaceIndex = new HashMap<>();
    private final Map<ServiceName, Integer> serviceIndex = new HashMap<>();
    private final double[][] completedCost;
    private final double[][] runningCost;
    private final int[][] runningCount;
    private final int[][] openCount;

    /** Creates a sampler with no requests recorded. */
    public FleetSampler(SimulatedFleet fleet, FleetLayout layout) {
        this.fleet = fleet;
        this.layout = layout;
        for (int index = 0; index < layout.workspaces(); index++) {
            workspaceIndex.put(layout.workspace(index), index);
        }
        for (int index = 0; index < layout.services(); index++) {
            serviceIndex.put(layout.service(index), index);
        }
        completedCost = new double[layout.services()][layout.workspaces()];
        runningCost = new double[layout.services()][layout.workspaces()];
        runningCount = new int[layout.services()][layout.workspaces()];
        openCount = new int[layout.services()][layout.workspaces()];
    }

    /** Counts a request that a caller sent. */
    public void sent(RequestRecord request) {
        openCount[service(request)][workspace(request)]++;
    }

    @Override
    public void served(RequestRecord request) {
        completedCost[service(request)][workspace(request)] += request.cost();
    }

    @Override
    public void ended(RequestRecord request) {
        openCount[service(request)][workspace(request)]--;
    }

    private int service(RequestRecord request) {
        return serviceIndex.get(request.description().service());
    }

    private int workspace(RequestRecord request) {
        return workspaceIndex.get(request.description().workspace());
    }

    /** Samples the running requests. */
    public void sample() {
        long now = fleet.scheduler().now();
        for (int service = 0; service < layout.services(); service++) {
            runningCost[service] = new double[layout.workspaces()];
            runningCount[service] = new int[layout.workspaces()];
        }
        for (SimulatedRunner runner : fleet.runners()) {
            for (SimulatedRunner.Work work : runner.runningWork().values()) {
                int service = service(work.request());
                int workspace = workspace(work.request());
                runningCost[service][workspace] += work.served(now);
                runningCount[service][workspace]++;
            }
        }
    }

    /** Returns the cost served to a workspace up to the last sample, in cost units. */
    public double served(int service, int workspace) {
        return completedCost[service][workspace] + runningCost[service][workspace];
    }

    /** Returns the open requests of a workspace that are not running. */
    public int waiting(int service, int workspace) {
        return openCount[service][workspace] - runningCount[service][workspace];
    }

    /** Returns the requests of all workspaces that wait for a service. */
    public int waiting(int service) {
        int sum = 0;
        for (int workspace = 0; workspace < layout.workspaces(); workspace++) {
            sum += Math.max(0, waiting(service, workspace));
        }
        return sum;
    }

    /** Returns the requests that run at the runners of a service. */
    public int running(int service) {
        int sum = 0;
        for (int count : runningCount[service]) {
            sum += count;
        }
        return sum;
    }

    /** Returns the current capacity of the runners of a service in open zones, in requests. */
    public int capacity(int service) {
        long now = fleet.scheduler().now();
        int sum = 0;
        for (SimulatedRunner runner : fleet.runners()) {
            boolean ofService = runner.runner().service().equals(layout.service(service));
            if (ofService && fleet.inventory().isOpen(runner.runner()) && !runner.isDown(now)) {
                sum += runner.capacity(now);
            }
        }
        return sum;
    }
}
