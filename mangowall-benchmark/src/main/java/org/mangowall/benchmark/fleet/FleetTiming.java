package org.mangowall.benchmark.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.mangowall.kernel.name.ZoneName;

/**
 * The times of a simulated fleet, in microseconds.
 *
 * @param withinZone one way between routers of a zone
 * @param betweenZones one way between routers of two zones
 * @param costUnit the time in which a runner serves one unit of cost
 * @param firstProgress the time from sending to the first piece of the answer
 */
public record FleetTiming(long withinZone, long betweenZones, long costUnit, long firstProgress) {

    private static final double LARGEST_JITTER = 0.3;

    /** Model calls: 20 ms for a token. */
    public static FleetTiming modelCalls() {
        return new FleetTiming(250, 1_500, 20_000, 200_000);
    }

    /** Plain calls: 30 ms for a call of cost one. */
    public static FleetTiming plainCalls() {
        return new FleetTiming(250, 1_500, 30_000, 5_000);
    }

    /** The same with messages that arrive at once. */
    public FleetTiming withoutDelays() {
        return new FleetTiming(0, 0, costUnit, firstProgress);
    }

    long between(ZoneName from, ZoneName to, UniformRandomProvider random) {
        long base = from.equals(to) ? withinZone : betweenZones;
        return (long) (base * (1 + LARGEST_JITTER * random.nextDouble()));
    }

    long duration(double cost) {
        return (long) (cost * costUnit);
    }
}
