package org.mangowall.edge.overload;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides which request bodies a host reads now, later or not at all.
 *
 * <p>Load: many callers send large bodies at once, among small requests. Room is taken for a whole body before more
 * than its first bytes are read, since bodies that each have a part of their room would wait for each other forever.
 * Large bodies leave room to small ones, and wait in the order of their arrival. Confined to the network thread.
 */
public final class BodyRoom {

    /** The largest body that counts as small. */
    public static final int SMALL_BYTES = 1 << 16;
    /** The most that is read from a caller before it can be paused. */
    static final int FIRST_BYTES = 1 << 16;

    /** The part of the room that large bodies may take together; a quarter of the room is left to small ones alone. */
    private static final double LARGE_SHARE = 0.625;
    /** The part of the room for the first bytes of bodies that wait. */
    private static final double WAITING_SHARE = 0.125;
    /** Weight of the latest large body in the mean time for which one is held. */
    private static final double LATEST_WEIGHT = 0.2;

    private static final double MIN_RETRY_AFTER_MILLIS = 200;
    private static final double NANOS_PER_MILLI = 1e6;

    private final HeldMemory held;
    private final Deque<Claim> waiting = new ArrayDeque<>();
    private long largeBytes;
    private long waitingBytes;
    private double holdMillis;

    /** Creates the room without any body in it. */
    public BodyRoom(HeldMemory held) {
        this.held = held;
    }

    /** What becomes of a body. */
    public sealed interface Decision {

        /** It has room and is read. */
        record Take() implements Decision {}

        /** It is read on once other bodies have been let go. */
        record Wait() implements Decision {}

        /**
         * It isn't read: nothing tells that it will have room in time.
         *
         * @param retryAfterMillis when there may be room
         */
        record Reject(double retryAfterMillis) implements Decision {}
    }

    /** One body's claim on the room. */
    public static final class Claim {

        private final Runnable admission;
        private long takenBytes;
        private long largeBytes;
        private long wantedBytes;
        private long largeSince;

        /**
         * Creates a claim on nothing.
         *
         * @param admission is called when the claim had to wait and has got its room; it must not end another claim
         */
        public Claim(Runnable admission) {
            this.admission = admission;
        }

        /** The room that the body has. */
        public long takenBytes() {
            return takenBytes;
        }

        /** Whether the body waits for room. */
        public boolean isWaiting() {
            return wantedBytes > 0;
        }
    }

    /**
     * Asks for room for a body, before it is read.
     *
     * @param bytes the size of the whole body
     * @param bearableMillis how long the body may wait
     * @param now the time, in nanoseconds
     */
    public Decision request(Claim claim, long bytes, double bearableMillis, long now) {
        boolean isFirst = bytes <= SMALL_BYTES || waiting.isEmpty();
        if (isFirst && tryTake(claim, bytes, now)) {
            return new Decision.Take();
        }
        double waitMillis = holdMillis * (waitingBytes + bytes) / Math.max(1, largeLimitBytes());
        boolean mayWait = bytes > SMALL_BYTES && bytes <= largeLimitBytes() && waitMillis <= bearableMillis;
        if (!mayWait || !tryTakeFirstBytes(claim)) {
            return new Decision.Reject(Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
        }
        claim.wantedBytes = bytes;
        waitingBytes += bytes;
        waiting.addLast(claim);
        return new Decision.Wait();
    }

    private boolean tryTakeFirstBytes(Claim claim) {
        double limit = WAITING_SHARE * held.limitBytes(HeldPart.REQUEST_BODIES);
        if ((waiting.size() + 1.0) * FIRST_BYTES > limit || !held.tryTake(HeldPart.REQUEST_BODIES, FIRST_BYTES)) {
            return false;
        }
        claim.takenBytes += FIRST_BYTES;
        return true;
    }

    /** The largest body that ever has room. */
    public long largeLimitBytes() {
        return (long) (LARGE_SHARE * held.limitBytes(HeldPart.REQUEST_BODIES));
    }

    private boolean tryTake(Claim claim, long bytes, long now) {
        boolean isLarge = bytes > SMALL_BYTES;
        if (isLarge && largeBytes + bytes > largeLimitBytes()) {
            return false;
        }
        if (!held.tryTake(HeldPart.REQUEST_BODIES, bytes - claim.takenBytes)) {
            return false;
        }
        claim.takenBytes = bytes;
        if (isLarge) {
            claim.largeBytes = bytes;
            claim.largeSince = now;
            largeBytes += bytes;
        }
        return true;
    }

    /** The body is complete, and may be smaller than the room that it has. */
    public void complete(Claim claim, long bytes, long now) {
        returnAllBut(bytes, claim);
        admitWaiting(now);
    }

    /** The body is let go; one that waits gives up its place. */
    public void release(Claim claim, long now) {
        if (claim.isWaiting()) {
            waiting.remove(claim);
            endWait(claim);
        }
        if (claim.largeBytes > 0) {
            double millis = (now - claim.largeSince) / NANOS_PER_MILLI;
            holdMillis += LATEST_WEIGHT * (millis - holdMillis);
        }
        returnAllBut(0, claim);
        admitWaiting(now);
    }

    private void returnAllBut(long bytes, Claim claim) {
        long surplus = Math.max(0, claim.takenBytes - bytes);
        long largeSurplus = Math.min(claim.largeBytes, surplus);
        held.release(HeldPart.REQUEST_BODIES, surplus);
        claim.takenBytes -= surplus;
        claim.largeBytes -= largeSurplus;
        largeBytes -= largeSurplus;
    }

    private void admitWaiting(long now) {
        while (!waiting.isEmpty() && tryTake(waiting.peekFirst(), waiting.peekFirst().wantedBytes, now)) {
            Claim admitted = waiting.pollFirst();
            endWait(admitted);
            admitted.admission.run();
        }
    }

    private void endWait(Claim claim) {
        waitingBytes -= claim.wantedBytes;
        claim.wantedBytes = 0;
    }

    /** The number of bodies that wait. */
    public int waiting() {
        return waiting.size();
    }
}
