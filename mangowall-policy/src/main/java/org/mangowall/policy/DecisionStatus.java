package org.mangowall.policy;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/**
 * A picture of a decision core for metrics and the operators' status page.
 *
 * @param configurationVersion the version in force
 * @param runners the runners of which this router is home
 * @param shares the workspaces by service as this router accounts for them
 * @param services the services as this router sees them
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
     * One runner at its home.
     *
     * @param runner the runner
     * @param service its service
     * @param home its home, which is this router
     * @param limit the requests it may have at once now
     * @param running the requests that this home has sent and that have not ended
     * @param reported the requests that it last reported as running
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
     * One workspace's account for one service.
     *
     * @param service the service
     * @param workspace the workspace
     * @param weight its weight
     * @param waitingHere its requests that wait at this router
     * @param waitingFleet its requests that wait anywhere, as far as known
     * @param served the cost divided by weight that the fleet has charged, as far as known
     * @param virtualTime the tag by which it is ordered
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
     * One service.
     *
     * @param service the service
     * @param freeSlotsHere the free slots at this home
     * @param waitingHere the requests that wait here
     * @param gap the largest difference of virtual time between two backlogged workspaces, in cost units by weight
     * @param gapBound the bound that the design states for the gap now
     */
    public record ServiceStatus(ServiceName service, int freeSlotsHere, int waitingHere, double gap, double gapBound) {}
}
