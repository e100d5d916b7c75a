package org.mangowall.benchmark.fleet;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/** Takes samples of what a simulated fleet does, from outside the decision cores. */
public final class FleetProbe implements FleetListener {

    private final SimulatedFleet fleet;
    private final FleetShape shape;
    private final Map<WorkspaceName, Integer> workspaceIndex = new HashMap<>();
    private final Map<ServiceName, Integer> serviceIndex = new HashMap<>();
    private final double[][] finished;
    private final double[][] running;
    private final int[][] runningCount;
    private final int[][] openCount;

    /** Makes a probe. */
    public FleetProbe(SimulatedFleet fleet, FleetShape shape) {
        this.fleet = fleet;
        this.shape = shape;
        for (int index = 0; index < shape.workspaces(); index++) {
            workspaceIndex.put(shape.workspace(index), index);
        }
        for (int index = 0; index < shape.services(); index++) {
            serviceIndex.put(shape.service(index), index);
        }
        finished = new double[shape.services()][shape.workspaces()];
        running = new double[shape.services()][shape.workspaces()];
        runningCount = new int[shape.services()][shape.workspaces()];
        openCount = new int[shape.services()][shape.workspaces()];
    }

    /** Notes that a caller sent a request. */
    public void sent(RequestRecord request) {
        openCount[service(request)][workspace(request)]++;
    }

    @Override
    public void served(RequestRecord request) {
        finished[service(request)][workspace(request)] += request.cost();
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

    /** Looks at what runs now. */
    public void sample() {
        long now = fleet.line().now();
        for (int service = 0; service < shape.services(); service++) {
            running[service] = new double[shape.workspaces()];
            runningCount[service] = new int[shape.workspaces()];
        }
        for (SimulatedRunner runner : fleet.runners()) {
            for (SimulatedRunner.Work work : runner.working().values()) {
                int service = service(work.request());
                int workspace = workspace(work.request());
                running[service][workspace] += work.served(now);
                runningCount[service][workspace]++;
            }
        }
    }

    /** The service that a workspace has received so far, in cost units. */
    public double served(int service, int workspace) {
        return finished[service][workspace] + running[service][workspace];
    }

    /** The requests of a workspace that are sent and neither run nor are answered. */
    public int waiting(int service, int workspace) {
        return openCount[service][workspace] - runningCount[service][workspace];
    }

    /** The requests of all workspaces that wait for a service. */
    public int waiting(int service) {
        int sum = 0;
        for (int workspace = 0; workspace < shape.workspaces(); workspace++) {
            sum += Math.max(0, waiting(service, workspace));
        }
        return sum;
    }

    /** The requests that run at the runners of a service. */
    public int running(int service) {
        int sum = 0;
        for (int count : runningCount[service]) {
            sum += count;
        }
        return sum;
    }

    /** The requests that the runners of a service in open zones would bear now. */
    public int bearable(int service) {
        long now = fleet.line().now();
        int sum = 0;
        for (SimulatedRunner runner : fleet.runners()) {
            boolean ofService = runner.runner().service().equals(shape.service(service));
            if (ofService && fleet.inventory().isOpen(runner.runner()) && !runner.isDown(now)) {
                sum += runner.bears(now);
            }
        }
        return sum;
    }
}
