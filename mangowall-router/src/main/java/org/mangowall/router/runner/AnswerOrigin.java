package org.mangowall.router.runner;

import org.mangowall.kernel.name.RequestIdentifier;

/** Where the answer of a request comes from: a home router, or a runner of this router. */
public interface AnswerOrigin {

    /** The bytes of an answer's body that may be under way between its origin and its caller. */
    long WINDOW_BYTES = 128 * 1024;

    /** The caller has taken so many bytes of the answer's body; a window more may follow. */
    void taken(RequestIdentifier request, long takenBytes);
}
