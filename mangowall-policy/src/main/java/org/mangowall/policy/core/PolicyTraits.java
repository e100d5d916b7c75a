package org.mangowall.policy.core;

import java.time.Duration;

/**
 * What tells one scheduling policy from another.
 *
 * @param homeChoice how the entry chooses among homes
 * @param queueOrder in which order a home serves what waits
 * @param runnerChoice how a home chooses among its runners
 * @param adaptiveLimits whether limits start slowly and adapt; otherwise they are the runners' slots
 * @param exchange whether homes exchange counters and pull work from each other
 * @param exchangePeriod the time between two exchanges of a service
 */
public record PolicyTraits(
        HomeChoice homeChoice,
        QueueOrder queueOrder,
        RunnerChoice runnerChoice,
        boolean adaptiveLimits,
        boolean exchange,
        Duration exchangePeriod) {

    /** The usual time between two exchanges. */
    public static final Duration EXCHANGE_PERIOD = Duration.ofMillis(1000);

    /** Fair shares over the whole fleet. */
    public static PolicyTraits fair() {
        return new PolicyTraits(
                HomeChoice.BALANCED, QueueOrder.FAIR, RunnerChoice.AFFINITY_THEN_LOAD, true, true, EXCHANGE_PERIOD);
    }

    /** Fair shares at each home by itself. */
    public static PolicyTraits localFair() {
        return new PolicyTraits(
                HomeChoice.BALANCED, QueueOrder.FAIR, RunnerChoice.AFFINITY_THEN_LOAD, true, false, EXCHANGE_PERIOD);
    }

    /** Homes and runners in turn, requests in order of arrival. */
    public static PolicyTraits roundRobin() {
        return new PolicyTraits(
                HomeChoice.ROUND_ROBIN, QueueOrder.ARRIVAL, RunnerChoice.ROUND_ROBIN, false, false, EXCHANGE_PERIOD);
    }

    /** The home and the runner with the least unfinished work, requests in order of arrival. */
    public static PolicyTraits leastOutstanding() {
        return new PolicyTraits(
                HomeChoice.LEAST_OUTSTANDING,
                QueueOrder.ARRIVAL,
                RunnerChoice.LEAST_LOADED,
                false,
                false,
                EXCHANGE_PERIOD);
    }

    /** The same policy with another time between exchanges. */
    public PolicyTraits withExchangePeriod(Duration period) {
        return new PolicyTraits(homeChoice, queueOrder, runnerChoice, adaptiveLimits, exchange, period);
    }

    /** How an entry chooses among homes. */
    public enum HomeChoice {
        /** By prefix, free slots and zone distance, the better of two. */
        BALANCED,
        /** Each runner's home in turn. */
        ROUND_ROBIN,
        /** The one with the least unfinished work of this entry for each slot. */
        LEAST_OUTSTANDING
    }

    /** In which order a home serves what waits. */
    public enum QueueOrder {
        /** The workspace with the smallest virtual time first. */
        FAIR,
        /** The oldest request first. */
        ARRIVAL
    }

    /** How a home chooses among its runners. */
    public enum RunnerChoice {
        /** The runner that keeps the prefix, else the lower load of two. */
        AFFINITY_THEN_LOAD,
        /** In turn. */
        ROUND_ROBIN,
        /** The lowest load. */
        LEAST_LOADED
    }
}
