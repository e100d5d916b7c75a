package org.mangowall.edge.mirror;

/**
 * Tracks whether the platform's store responds to this host and to the other hosts.
 *
 * <p>During an outage of the store, entries may expire although their runners are alive. When the store only rejects
 * this host, runners can still renew their entries. A store that was restored from a copy lacks what was written after
 * the copy was made, until its writers notice.
 */
public final class StoreAvailability {

    /** Time without a response to any host that counts as an outage while this host's calls fail. */
    private static final long FAILING_OUTAGE_NANOS = 2_500_000_000L;
    /** Time without a response that counts as an outage when no call failed; a watch may take nearly as long. */
    private static final long SILENT_OUTAGE_NANOS = 4_000_000_000L;

    /** Time after an outage or a restore of the store within which entries are written again. */
    static final long RENEWAL_NANOS = 2_300_000_000L;

    private long lastResponseAt;
    private long lastOwnResponseAt;
    private long recoveredAt = Long.MIN_VALUE;
    private long restoredAt = Long.MIN_VALUE;
    private boolean hasLastCallFailed;

    /** Creates a state in which the store has just responded. */
    public StoreAvailability(long now) {
        this.lastResponseAt = now;
        this.lastOwnResponseAt = now;
    }

    /**
     * Records a valid response of the store to this host.
     *
     * @return whether the previous call had failed
     */
    public boolean recordResponse(long now) {
        recordResponseToAnyHost(now);
        lastOwnResponseAt = now;
        boolean hadFailed = hasLastCallFailed;
        hasLastCallFailed = false;
        return hadFailed;
    }

    /** Records that the store responded to another host. */
    public void recordResponseToOtherHost(long at) {
        recordResponseToAnyHost(at);
    }

    private void recordResponseToAnyHost(long at) {
        if (at <= lastResponseAt) {
            return;
        }
        if (isOutage(at)) {
            recoveredAt = at;
        }
        lastResponseAt = at;
    }

    /** Records that the store was restored from a copy, so that it may lack entries that it had acknowledged. */
    public void recordRestore(long now) {
        recoveredAt = now;
        restoredAt = now;
    }

    /** Returns for how much longer entries that a restore lost may be written again; 0 without a recent restore. */
    long renewalNanosLeftAfterRestore(long now) {
        return restoredAt == Long.MIN_VALUE ? 0 : Math.max(0, RENEWAL_NANOS - (now - restoredAt));
    }

    /** Returns the time of the store's last response to this host. */
    public long lastOwnResponseAt() {
        return lastOwnResponseAt;
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

    /** Returns the time of the store's last response to any host. */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Whether this host's last call failed. */
    public boolean hasLastCallFailed() {
        return hasLastCallFailed;
    }

    /** Whether the store has an outage: it has responded to no host for some time. */
    public boolean isOutage(long now) {
        return now - lastResponseAt >= (hasLastCallFailed ? FAILING_OUTAGE_NANOS : SILENT_OUTAGE_NANOS);
    }

    /** Returns the time since the end of the last outage; {@code Long.MAX_VALUE} when there was none. */
    public long nanosSinceRecovery(long now) {
        return recoveredAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - recoveredAt;
    }
}
