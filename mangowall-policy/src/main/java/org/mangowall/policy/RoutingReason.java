package org.mangowall.policy;

/** Why a request went where it did; logged with each decision. */
public enum RoutingReason {
    /** A home with free slots, the better of two. */
    FREE_SLOTS,
    /** The runner keeps the prompt's prefix in its cache. */
    PREFIX_AFFINITY,
    /** All homes are full; this one has the shortest queue. */
    SHORTEST_QUEUE,
    /** The only home of the service. */
    ONLY_HOME,
    /** Another home asked for it. */
    PULLED,
    /** The next try after one that did not run. */
    RETRY,
    /** The runner with the lowest load. */
    LEAST_LOADED,
    /** The next runner in turn. */
    ROUND_ROBIN
}
