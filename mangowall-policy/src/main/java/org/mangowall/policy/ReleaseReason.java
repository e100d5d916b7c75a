package org.mangowall.policy;

/** Why a home gave a waiting request back to its entry; a released request has not run there. */
public enum ReleaseReason {
    /** Another home pulled it. */
    PULLED,
    /** The home is shutting down. */
    HOME_LEAVING,
    /** The home has no open runner for it any more. */
    NO_RUNNER_HERE,
    /** Sending failed here, each time with certainty before the first byte. */
    NOT_SENT
}
