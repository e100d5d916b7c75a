package org.mangowall.edge.traffic;

import org.mangowall.edge.overload.HeldMemory;
import org.mangowall.edge.overload.HeldPart;

/** The memory for the part of one response that is buffered. */
final class BufferedMemory {

    /** Small responses are buffered in any case, so that those of faulty runners don't fail those of sound ones. */
    private static final int SMALL_BYTES = 1 << 13;

    private final HeldMemory memory;
    private long takenBytes;

    BufferedMemory(HeldMemory memory) {
        this.memory = memory;
    }

    /** Changes the size; returns false, and leaves the size as it is, if the host has no memory left for it. */
    boolean tryResize(long bytes) {
        long added = bytes - takenBytes;
        if (added > 0 && bytes > SMALL_BYTES && !memory.tryTake(HeldPart.BUFFERED_RESPONSES, added)) {
            return false;
        }
        if (added > 0 && bytes <= SMALL_BYTES) {
            memory.add(HeldPart.BUFFERED_RESPONSES, added);
        }
        if (added < 0) {
            memory.release(HeldPart.BUFFERED_RESPONSES, -added);
        }
        takenBytes = bytes;
        return true;
    }

    /** Returns all of it. */
    void release() {
        tryResize(0);
    }
}
