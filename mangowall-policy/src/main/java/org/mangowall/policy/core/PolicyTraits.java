package org.mangowall.policy.core;

import java.time.Duration;

/**
 * Strategies and settings that define a scheduling policy.
 *
 * @param homeChoice how an entry chooses among homes
 * @param queueOrder the order in which a home serves its queue
 * @param runnerChoice how a home chooses among its runners
 * @param adaptiveLimits whether concurrency limits use slow start and adapt; otherwise they equal the runners' slots
 * @param exchangesState whether homes exchange their state and pull requests from each other
 * @param exchangePeriod the time between two periodic exchanges of a service
 */
public record PolicyTraits(
        HomeChoice homeChoice,
        QueueOrder queueOrder,
        RunnerChoice runnerChoice,
        boolean adaptiveLimits,
        boolean exchangesState,
        Duration exchangePeriod) {

    /** The default time between two periodic exchanges. */
    public static final Duration EXCHANGE_PERIOD = Duration.ofMillis(1000);

    /** Fair queueing across the whole fleet. */
    public static PolicyTraits fair() {
        return new PolicyTraits(
                HomeChoice.BALANCED, QueueOrder.FAIR, RunnerChoice.AFFINITY_THEN_LOAD, true, true, EXCHANGE_PERIOD);
    }

    /** Fair queueing at each home independently. */
    public static PolicyTraits localFair() {
        return new PolicyTraits(
                HomeChoice.BALANCED, QueueOrder.FAIR, RunnerChoice.AFFINITY_THEN_LOAD, true, false, EXCHANGE_PERIOD);
    }

    /** Round robin over homes and runners, requests in order of arrival. */
    public static PolicyTraits roundRobin() {
        return new PolicyTraits(
                HomeChoice.ROUND_ROBIN, QueueOrder.ARRIVAL, RunnerChoice.ROUND_ROBIN, false, false, EXCHANGE_PERIOD);
    }

    /** The home and the runner with the fewest outstanding requests per slot, requests in order of arrival. */
    public static PolicyTraits leastOutstanding() {
        return new PolicyTraits(
                HomeChoice.LEAST_OUTSTANDING,
                QueueOrder.ARRIVAL,
                RunnerChoice.LEAST_LOADED,
                false,
                false,
                EXCHANGE_PERIOD);
    }

    /** Returns these traits with another exchange period. */
    public PolicyTraits withExchangePeriod(Duration period) {
        return new PolicyTraits(homeChoice, queueOrder, runnerChoice, adaptiveLimits, exchangesState, period);
    }

    /** How an entry chooses among homes. */
    public enum HomeChoice {
        /** By prefix affinity, free slots and zone distance; the less loaded of two random candidates. */
        BALANCED,
        /** In turn, weighted by slots. */
        ROUND_ROBIN,
        /** The home with the fewest outstanding requests of this entry per slot. */
        LEAST_OUTSTANDING
    }

    /** The order in which a home serves its queue. */
    public enum QueueOrder {
        /** The workspace with the smallest virtual time first. */
        FAIR,
        /** The oldest request first. */
        ARRIVAL
    }

    /** How a home chooses among its runners. */
    public enum RunnerChoice {
        /** The runner that the prompt prefix was last sent to, else the least loaded one. */
        AFFINITY_THEN_LOAD,
        /** In turn. */
        ROUND_ROBIN,
        /** The runner with the lowest ratio of running requests to its limit. */
        LEAST_LOADED
    }
}
