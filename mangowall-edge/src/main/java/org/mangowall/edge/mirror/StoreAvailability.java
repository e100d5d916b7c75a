package org.mangowall.edge.mirror;

/**
 * Tracks whether the platform's store answers this host and the other hosts.
 *
 * <p>During an outage of the store, entries may expire although their runners are alive. When the store only rejects
 * this host, runners can still renew their entries.
 */
public final class StoreAvailability {

    /** Time without an answer to any host that counts as an outage while this host's calls fail. */
    private static final long FAILING_OUTAGE_NANOS = 2_500_000_000L;
    /** Time without an answer that counts as an outage when no call failed; a watch may take nearly as long. */
    private static final long SILENT_OUTAGE_NANOS = 4_000_000_000L;

    private long lastAnswerAt;
    private long lastOwnAnswerAt;
    private long recoveredAt = Long.MIN_VALUE;
    private boolean hasLastCallFailed;

    /** Creates a state in which the store has just answered. */
    public StoreAvailability(long now) {
        this.lastAnswerAt = now;
        this.lastOwnAnswerAt = now;
    }

    /**
     * Records a valid answer of the store to this host.
     *
     * @return whether the previous call had failed
     */
    public boolean recordAnswer(long now) {
        recordAnswerToAnyHost(now);
        lastOwnAnswerAt = now;
        boolean hadFailed = hasLastCallFailed;
        hasLastCallFailed = false;
        return hadFailed;
    }

    /** Records that the store answered another host. */
    public void recordAnswerToOtherHost(long at) {
        recordAnswerToAnyHost(at);
    }

    private void recordAnswerToAnyHost(long at) {
        if (at <= lastAnswerAt) {
            return;
        }
        if (isOutage(at)) {
            recoveredAt = at;
        }
        lastAnswerAt = at;
    }

    /** Returns the time of the store's last answer to this host. */
    public long lastOwnAnswerAt() {
        return lastOwnAnswerAt;
    }

    /**
     * Records a failed call of this host.
     *
     * @return whether the previous call had succeeded
     */
    public boolean recordFailure() {
        boolean isFirstFailure = !hasLastCallFailed;
        hasLastCallFailed = true;
        return isFirstFailure;
    }

    /** Returns the time of the store's last answer to any host. */
    public long lastAnswerAt() {
        return lastAnswerAt;
    }

    /** Whether this host's last call failed. */
    public boolean hasLastCallFailed() {
        return hasLastCallFailed;
    }

    /** Whether the store has an outage: it has answered no host for some time. */
    public boolean isOutage(long now) {
        return now - lastAnswerAt >= (hasLastCallFailed ? FAILING_OUTAGE_NANOS : SILENT_OUTAGE_NANOS);
    }

    /** Returns the time since the end of the last outage; {@code Long.MAX_VALUE} when there was none. */
    public long nanosSinceRecovery(long now) {
        return recoveredAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - recoveredAt;
    }
}
