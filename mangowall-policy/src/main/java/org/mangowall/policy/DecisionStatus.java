package org.mangowall.policy;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/**
 * Snapshot of a decision core for metrics and the operators' status page.
 *
 * @param configurationVersion the configuration version in force
 * @param runners the runners of which this router is home
 * @param shares this router's accounts of workspaces, by service
 * @param services the services known to this router
 */
public record DecisionStatus(
        long configurationVersion, List<RunnerStatus> runners, List<ShareStatus> shares, List<ServiceStatus> services) {

    /** Copies the lists. */
    public DecisionStatus {
        runners = List.copyOf(runners);
        shares = List.copyOf(shares);
        services = List.copyOf(services);
    }

    /**
     * Status of one runner at its home.
     *
     * @param runner the runner
     * @param service its service
     * @param home its home, which is this router
     * @param limit the current limit on its concurrent requests
     * @param running the unfinished requests that this home has sent to it
     * @param reported the running requests in its last load report
     * @param open whether it may get new work
     */
    public record RunnerStatus(
            RunnerName runner,
            ServiceName service,
            RouterName home,
            int limit,
            int running,
            int reported,
            boolean open) {}

    /**
     * Account of one workspace for one service.
     *
     * @param service the service
     * @param workspace the workspace
     * @param weight its weight
     * @param waitingHere its requests queued at this router
     * @param waitingFleet its requests queued at any home, as far as known
     * @param served the cost divided by weight that the fleet has charged, as far as known
     * @param virtualTime the virtual time that orders it among the workspaces
     */
    public record ShareStatus(
            ServiceName service,
            WorkspaceName workspace,
            double weight,
            int waitingHere,
            int waitingFleet,
            double served,
            double virtualTime) {}

    /**
     * Status of one service.
     *
     * @param service the service
     * @param freeSlotsHere the free slots at this home
     * @param waitingHere the requests queued at this home
     * @param gap the largest difference of virtual time between backlogged workspaces, in cost units divided by weight
     * @param gapBound the current upper bound of the gap under fair queueing
     */
    public record ServiceStatus(ServiceName service, int freeSlotsHere, int waitingHere, double gap, double gapBound) {}
}
