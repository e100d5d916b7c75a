package org.mangowall.policy;

/** Why a request returned to its entry; {@link RequestDescription#mayHaveRun()} tells whether it may have run. */
public enum ReleaseReason {
    /** Another home pulled it. */
    PULLED,
    /** The home is shutting down. */
    HOME_LEAVING,
    /** The home has no open runner of the service. */
    NO_RUNNER_HERE,
    /** Passing the request to the home failed, or an attempt failed and no open runner is left there to retry. */
    NOT_SENT
}
