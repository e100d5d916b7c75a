package org.mangowall.policy.core;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.core.HomeAssignment.HomeCapacity;
import org.mangowall.policy.share.ShareLedger;

/** The bound on the gap of service between two backlogged workspaces, in cost by weight. */
final class GapBound {

    private static final double DELAY_SECONDS = 0.05;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private GapBound() {}

    /**
     * The bound now: what is served while news is under way, the unknown cost of what runs, and one largest request.
     */
    static double of(CoreContext context, ServiceState service, PeerBook peers) {
        ShareLedger ledger = service.ledger();
        double smallestWeight = Double.POSITIVE_INFINITY;
        double weights = 0;
        for (WorkspaceName workspace : ledger.workspaces()) {
            boolean waits = service.queue().sizeOf(workspace) > 0 || peers.waiting(service.name(), workspace) > 0;
            if (waits) {
                double weight = context.weight(workspace);
                smallestWeight = Math.min(smallestWeight, weight);
                weights += weight;
            }
        }
        if (weights == 0) {
            smallestWeight = 1;
            weights = 1;
        }
        int slots = 0;
        for (HomeCapacity home :
                context.assignment().openHomesOf(service.name()).values()) {
            slots += home.slots();
        }
        double staleness = context.traits().exchangePeriod().toMillis() / MILLISECONDS_PER_SECOND + DELAY_SECONDS;
        double largest = ledger.largestCost();
        double unseen = staleness * ledger.costPerSecond(context.now()) / weights;
        double running = 2 * slots * largest / Math.max(weights, slots * smallestWeight);
        return unseen + running + 2 * largest / smallestWeight;
    }
}
