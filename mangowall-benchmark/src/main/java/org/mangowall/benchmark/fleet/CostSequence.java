package org.mangowall.benchmark.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A seeded sequence of log-normally distributed request costs, which are the same on all processors. */
final class CostSequence {

    private static final double MINIMUM_COST = 1;
    private static final double MAXIMUM_COST_BY_MEAN = 10;

    private final UniformRandomProvider random;
    private final double mean;
    private final double spread;

    CostSequence(double mean, double spread, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.mean = mean;
        this.spread = spread;
    }

    double next() {
        double gaussian = Math.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                * StrictMath.cos(2 * Math.PI * random.nextDouble());
        double cost = mean * StrictMath.exp(spread * gaussian - spread * spread / 2);
        return Math.min(mean * MAXIMUM_COST_BY_MEAN, Math.max(Math.min(MINIMUM_COST, mean), cost));
    }
}
