package org.mangowall.policy.core;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.core.HomeAssignment.HomeCapacity;
import org.mangowall.policy.share.ShareLedger;

/** Bound on the difference in service between two backlogged workspaces, in cost divided by weight. */
final class FairnessGapBound {

    private static final double MESSAGE_DELAY_SECONDS = 0.05;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private FairnessGapBound() {}

    /**
     * The current bound: the service given until an exchange arrives, the unknown cost of running requests, and one
     * largest request of each of the two workspaces.
     */
    static double of(CoreContext context, ServiceState service, PeerHomeStates peers) {
        Backlog backlog = backlog(context, service, peers);
        int slots = 0;
        for (HomeCapacity home :
                context.assignment().openHomesOf(service.name()).values()) {
            slots += home.slots();
        }
        ShareLedger ledger = service.ledger();
        double periodSeconds = context.traits().exchangePeriod().toMillis() / MILLISECONDS_PER_SECOND;
        double stalenessSeconds = service.exchangeRotation() * periodSeconds + MESSAGE_DELAY_SECONDS;
        double unseenService = stalenessSeconds * ledger.servedPerSecond(context.now());
        double runningCost = 2 * slots * ledger.largestCost() / backlog.totalWeight();
        return unseenService + runningCost + 2 * ledger.largestCost() / backlog.smallestWeight();
    }

    /** How far a recently backlogged workspace may lag behind: one largest request of each of two workspaces. */
    static double maxLag(CoreContext context, ServiceState service, PeerHomeStates peers) {
        return 2
                * service.ledger().largestCost()
                / backlog(context, service, peers).smallestWeight();
    }

    private static Backlog backlog(CoreContext context, ServiceState service, PeerHomeStates peers) {
        double smallestWeight = Double.POSITIVE_INFINITY;
        double totalWeight = 0;
        for (WorkspaceName workspace : service.ledger().workspaces()) {
            boolean isBacklogged =
                    service.queue().sizeOf(workspace) > 0 || peers.waiting(service.name(), workspace) > 0;
            if (isBacklogged) {
                double weight = context.weight(workspace);
                smallestWeight = Math.min(smallestWeight, weight);
                totalWeight += weight;
            }
        }
        return totalWeight == 0 ? new Backlog(1, 1) : new Backlog(totalWeight, smallestWeight);
    }

    /** The total and the smallest weight of the backlogged workspaces. */
    private record Backlog(double totalWeight, double smallestWeight) {}
}
