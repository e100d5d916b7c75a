package org.mangowall.edge.mirror;

/**
 * Whether the platform's store answers, this host or any other.
 *
 * <p>When it answered nobody for a while, entries may have lapsed although their runners live. When it turned away this
 * host alone, they haven't.
 */
public final class StoreAvailability {

    /** Without an answer to any host for so long, while calls fail, entries may have lapsed. */
    private static final long AWAY_NANOS = 2_500_000_000L;
    /** A store that only answers nothing shows later: watches take nearly as long by themselves. */
    private static final long SILENT_NANOS = 4_000_000_000L;

    private long lastAnswerAt;
    private long lastOwnAnswerAt;
    private long regainedAt = Long.MIN_VALUE;
    private boolean isLost;

    /** Starts as if an answer had just come. */
    public StoreAvailability(long now) {
        this.lastAnswerAt = now;
        this.lastOwnAnswerAt = now;
    }

    /**
     * The store answered this host as it should.
     *
     * @return whether it had been lost
     */
    public boolean answered(long now) {
        answeredAny(now);
        lastOwnAnswerAt = now;
        boolean wasLost = isLost;
        isLost = false;
        return wasLost;
    }

    /** The store answered another host. */
    public void answeredOther(long at) {
        answeredAny(at);
    }

    private void answeredAny(long at) {
        if (at <= lastAnswerAt) {
            return;
        }
        if (isAway(at)) {
            regainedAt = at;
        }
        lastAnswerAt = at;
    }

    /** When the store last answered this host. */
    public long lastOwnAnswerAt() {
        return lastOwnAnswerAt;
    }

    /**
     * A call of this host failed.
     *
     * @return whether this is the first failure after answers
     */
    public boolean failed() {
        boolean isNew = !isLost;
        isLost = true;
        return isNew;
    }

    /** When the store last answered any host. */
    public long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Whether this host's last call failed. */
    public boolean isLost() {
        return isLost;
    }

    /** Whether the store answers no host. */
    public boolean isAway(long now) {
        return now - lastAnswerAt >= (isLost ? AWAY_NANOS : SILENT_NANOS);
    }

    /** How long ago the store came back to the fleet; very long when it was never away. */
    public long sinceRegained(long now) {
        return regainedAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - regainedAt;
    }
}
