package org.mangowall.edge.mirror;

/** Whether the platform's store answers this host, and since when. */
public final class StoreContact {

    /** Without any answer for so long, entries may have lapsed although their runners live. */
    private static final long LOST_AFTER_NANOS = 3_800_000_000L;

    private long lastAnswerAt;
    private long regainedAt = Long.MIN_VALUE;
    private boolean isLost;

    /** Starts as if an answer had just come. */
    public StoreContact(long now) {
        this.lastAnswerAt = now;
    }

    /**
     * The store answered as it should.
     *
     * @return whether it had been lost
     */
    public boolean answered(long now) {
        boolean wasLost = isLost || now - lastAnswerAt > LOST_AFTER_NANOS;
        if (wasLost) {
            regainedAt = now;
        }
        isLost = false;
        lastAnswerAt = now;
        return wasLost;
    }

    /**
     * A call failed.
     *
     * @return whether this is the first failure after answers
     */
    public boolean failed() {
        boolean isNew = !isLost;
        isLost = true;
        return isNew;
    }

    public boolean isLost() {
        return isLost;
    }

    /** How long ago the store came back; very long when it was never lost. */
    public long sinceRegained(long now) {
        return regainedAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - regainedAt;
    }
}
