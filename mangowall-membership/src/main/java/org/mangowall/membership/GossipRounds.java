package org.mangowall.membership;

/** Gossip rounds needed to reach a number of routers when each round doubles the number that have an update. */
final class GossipRounds {

    private GossipRounds() {}

    static int toReach(int count) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(count);
    }
}
