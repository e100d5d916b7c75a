package org.mangowall.policy;

/** Why a home or a runner was chosen for a request; logged with each decision. */
public enum RoutingReason {
    /** A home with free slots, the less loaded of two candidates. */
    FREE_SLOTS,
    /** The home or the runner that the prompt prefix is assigned to. */
    PREFIX_AFFINITY,
    /** No home has free slots; this one has the lower load of two candidates. */
    SHORTEST_QUEUE,
    /** The only home of the service. */
    ONLY_HOME,
    /** Another home pulled the request. */
    PULLED,
    /** Another attempt or placement after an earlier one failed. */
    RETRY,
    /** The home or the runner with the lowest load. */
    LEAST_LOADED,
    /** The next home or runner in turn. */
    ROUND_ROBIN
}
