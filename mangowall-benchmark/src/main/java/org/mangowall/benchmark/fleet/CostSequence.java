package org.mangowall.benchmark.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A fixed sequence of costs with a log-normal distribution. */
final class CostSequence {

    private static final double SMALLEST_COST = 1;
    private static final double LARGEST_COST_BY_MEAN = 10;

    private final UniformRandomProvider random;
    private final double mean;
    private final double spread;

    CostSequence(double mean, double spread, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.mean = mean;
        this.spread = spread;
    }

    double next() {
        double gaussian =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        double cost = mean * Math.exp(spread * gaussian - spread * spread / 2);
        return Math.min(mean * LARGEST_COST_BY_MEAN, Math.max(Math.min(SMALLEST_COST, mean), cost));
    }
}
