package org.mangowall.standin.caller;

/** The classification of an attempt by the caller. */
enum Verdict {
    /** The complete and expected response arrived. */
    ANSWERED,
    /** A refusal states, or a failed connect implies, that the request was not executed. */
    NOT_RUN,
    /** A failure leaves open whether the request was executed. */
    UNKNOWN,
    /** The response was truncated. */
    CUT,
    /** A complete response arrived that is not the expected one. */
    WRONG_BODY
}
