package org.mangowall.benchmark;

/**
 * The results of one benchmark run.
 *
 * @param policy the name of the policy
 * @param seed the seed of the run
 * @param utilisation the used share of the runner capacity while requests waited
 * @param largestGap the largest service gap between two backlogged workspaces, in cost units divided by weight
 * @param smallestBound the smallest gap bound that the routers reported during the measurement
 * @param boundBroken the number of samples in which the gap exceeded the bound
 * @param overloads the number of requests sent to runners beyond their capacity
 * @param falls the number of runner crashes, including the warm-up
 * @param served the number of requests served
 * @param refused the number of requests refused as not run, including the warm-up
 * @param failed the number of requests that ended otherwise, including the warm-up
 * @param pulledPerSecond the requests per second that all routers together asked for with pulls
 * @param exchangeBytesPerSecond the bytes per second of exchanges and pulls, averaged over the routers
 * @param mostExchangeBytesPerSecond the bytes per second of exchanges that the busiest router sent
 * @param eventsPerSecondOfProcessor the events handled per second of real time, on one processor core
 * @param heapMegabytes the used heap at the end, after a garbage collection, in units of 1024 * 1024 bytes
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
