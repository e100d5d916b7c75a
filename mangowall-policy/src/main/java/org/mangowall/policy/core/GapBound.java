package org.mangowall.policy.core;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.core.HomeAssignment.HomeCapacity;
import org.mangowall.policy.share.ShareLedger;

/** The bound on the gap of service between two backlogged workspaces, in cost by weight. */
final class GapBound {

    private static final double DELAY_SECONDS = 0.05;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private GapBound() {}

    /** The bound now: what is served while news is under way, the unknown cost of what runs, and one request each. */
    static double of(CoreContext context, ServiceState service, PeerBook peers) {
        Backlog backlog = backlog(context, service, peers);
        int slots = 0;
        for (HomeCapacity home :
                context.assignment().openHomesOf(service.name()).values()) {
            slots += home.slots();
        }
        ShareLedger ledger = service.ledger();
        double period = context.traits().exchangePeriod().toMillis() / MILLISECONDS_PER_SECOND;
        double staleness = service.exchangeRotation() * period + DELAY_SECONDS;
        double unseen = staleness * ledger.servedPerSecond(context.now());
        double running = 2 * slots * ledger.largestCost() / backlog.weights();
        return unseen + running + 2 * ledger.largestCost() / backlog.smallestWeight();
    }

    /** How far a workspace that was backlogged just now may lag behind: one largest request of each of a pair. */
    static double lag(CoreContext context, ServiceState service, PeerBook peers) {
        return 2
                * service.ledger().largestCost()
                / backlog(context, service, peers).smallestWeight();
    }

    private static Backlog backlog(CoreContext context, ServiceState service, PeerBook peers) {
        double smallestWeight = Double.POSITIVE_INFINITY;
        double weights = 0;
        for (WorkspaceName workspace : service.ledger().workspaces()) {
            boolean waits = service.queue().sizeOf(workspace) > 0 || peers.waiting(service.name(), workspace) > 0;
            if (waits) {
                double weight = context.weight(workspace);
                smallestWeight = Math.min(smallestWeight, weight);
                weights += weight;
            }
        }
        return weights == 0 ? new Backlog(1, 1) : new Backlog(weights, smallestWeight);
    }

    /** The weights of the workspaces that wait. */
    private record Backlog(double weights, double smallestWeight) {}
}
