package org.mangowall.edge.wire;

import java.util.Comparator;

/**
 * A point in the history of the platform's store.
 *
 * <p>A store that was restored from a copy starts a new era, in which revisions that were given out before are given
 * out again. Positions are therefore ordered by era, then by revision.
 *
 * @param era the era of the store; 0 if the store doesn't state any
 * @param revision the revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** The position before any object. */
    public static final StorePosition START = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Whether this position comes after another. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two positions. */
    public static StorePosition later(StorePosition first, StorePosition second) {
        return second.isAfter(first) ? second : first;
    }
}
