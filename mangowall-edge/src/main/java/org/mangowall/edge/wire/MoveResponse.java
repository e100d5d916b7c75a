package org.mangowall.edge.wire;

import java.util.Optional;

import org.mangowall.edge.model.RunCopy;

/**
 * A runner's response to the request to move a run.
 *
 * @param isCopied whether the copy lies at the other runner; otherwise a handle refers to the memory that the runner
 *     itself keeps
 * @param copy the copy; empty if the run goes on as before
 * @param events the number of events that the run has made; -1 if the response doesn't state it
 */
public record MoveResponse(boolean isCopied, Optional<RunCopy> copy, long events) {

    /** The run goes on as before, or the runner knows of none. */
    public static final MoveResponse REFUSED = new MoveResponse(false, Optional.empty(), -1);
}
