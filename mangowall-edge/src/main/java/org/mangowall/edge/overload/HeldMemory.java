package org.mangowall.edge.overload;

import java.util.OptionalLong;

/**
 * Counts the bytes that a host holds for requests and their responses, each part within its share of one budget.
 *
 * <p>Pure accounting, confined to the network thread: who holds memory takes it here before and releases it after.
 */
public final class HeldMemory {

    /** The rest of the process's memory is for the heap, code, threads, and buffers that bytes only pass through. */
    private static final double PROCESS_SHARE = 0.125;
    /** The rest of the direct memory is for buffers that bytes pass through, and for gaps between buffers. */
    private static final double DIRECT_SHARE = 0.5;

    private final long budgetBytes;
    private final long[] held = new long[HeldPart.values().length];

    /**
     * Creates an account without anything held.
     *
     * @param budgetBytes the limit of all parts together
     */
    public HeldMemory(long budgetBytes) {
        this.budgetBytes = budgetBytes;
    }

    /**
     * Returns the budget of a process.
     *
     * @param processBytes the memory that the process may use, if it is told
     * @param directBytes the direct memory that the runtime allows
     */
    public static long budgetBytes(OptionalLong processBytes, long directBytes) {
        double ofDirect = DIRECT_SHARE * directBytes;
        double ofProcess = processBytes.isPresent() ? PROCESS_SHARE * processBytes.getAsLong() : ofDirect;
        return (long) Math.min(ofDirect, ofProcess);
    }

    /** The most that a part may hold. */
    public long limitBytes(HeldPart part) {
        return (long) (part.share() * budgetBytes);
    }

    /** What a part holds now. */
    public long heldBytes(HeldPart part) {
        return held[part.ordinal()];
    }

    /** Takes memory if the part has as much left; returns whether it was taken. */
    public boolean tryTake(HeldPart part, long bytes) {
        if (heldBytes(part) + bytes > limitBytes(part)) {
            return false;
        }
        held[part.ordinal()] += bytes;
        return true;
    }

    /** Counts memory that is in use already, also beyond the limit. */
    public void add(HeldPart part, long bytes) {
        held[part.ordinal()] += bytes;
    }

    /** Returns memory that was taken or counted. */
    public void release(HeldPart part, long bytes) {
        held[part.ordinal()] -= bytes;
    }
}
