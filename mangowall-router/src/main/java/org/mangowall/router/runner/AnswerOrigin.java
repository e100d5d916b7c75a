package org.mangowall.router.runner;

import org.mangowall.kernel.name.RequestIdentifier;

/** Source of the answer to a request: the connection to its home router, or a runner call of this router. */
public interface AnswerOrigin {

    /** Flow-control window: the most body bytes of one answer in transit between its origin and its caller. */
    long WINDOW_BYTES = 128 * 1024;

    /** Reports how many body bytes were written to the caller so far; the origin may send one window beyond them. */
    void updateTakenBytes(RequestIdentifier request, long takenBytes);
}
