package org.mangowall.benchmark;

/**
 * The figures of one run of a policy.
 *
 * @param policy the policy
 * @param seed the seed of the trace
 * @param utilisation the part of the bearable load that ran while work waited
 * @param largestGap the largest gap of service between two backlogged workspaces, in cost by weight
 * @param smallestBound the smallest value that the stated bound had during the measurement
 * @param boundBroken the samples in which the gap was beyond the bound
 * @param overloads the requests sent to runners beyond what they bore
 * @param falls how often a runner fell over
 * @param served the requests served
 * @param refused the requests refused as not run
 * @param failed the requests that ended otherwise
 * @param pulledPerSecond the requests asked for by pulls, in a second, all routers together
 * @param exchangeBytesPerSecond the bytes of exchanges and pulls that one router sends in a second on average
 * @param mostExchangeBytesPerSecond the bytes of exchanges that the busiest router sends in a second
 * @param eventsPerSecondOfProcessor the events that one core of the machine takes in a second
 * @param heapMegabytes the used heap after a collection at the end
 */
record BenchmarkResult(
        String policy,
        long seed,
        double utilisation,
        double largestGap,
        double smallestBound,
        long boundBroken,
        int overloads,
        int falls,
        long served,
        long refused,
        long failed,
        double pulledPerSecond,
        double exchangeBytesPerSecond,
        double mostExchangeBytesPerSecond,
        double eventsPerSecondOfProcessor,
        double heapMegabytes) {}
