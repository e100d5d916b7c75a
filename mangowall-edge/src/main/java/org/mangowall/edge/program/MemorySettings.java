package org.mangowall.edge.program;

import java.util.OptionalLong;

import org.mangowall.edge.overload.HeldMemory;

/**
 * The memory that a host may use.
 *
 * @param processBytes the memory of the whole process; empty if it isn't told
 * @param heldBytes what is held for requests and their responses; empty if it follows from the rest
 */
public record MemorySettings(OptionalLong processBytes, OptionalLong heldBytes) {

    /**
     * Returns the budget for what is held for requests and their responses.
     *
     * @param directBytes the direct memory that the runtime allows
     */
    long budgetBytes(long directBytes) {
        return heldBytes.orElseGet(() -> HeldMemory.budgetBytes(processBytes, directBytes));
    }
}
