package org.mangowall.standin.caller;

/** What a caller concludes from the end of a call. */
enum Verdict {
    /** The whole answer to the caller's own request. */
    ANSWERED,
    /** A refusal that says that the request has not run. */
    NOT_RUN,
    /** A failure that leaves it open whether the request has run. */
    UNKNOWN,
    /** An answer that broke off. */
    CUT,
    /** A whole answer that is not the answer to the request. */
    WRONG_BODY
}
