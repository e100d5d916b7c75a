package org.mangowall.benchmark.fleet;

import org.apache.commons.rng.UniformRandomProvider;
import org.mangowall.kernel.name.ZoneName;

/**
 * Delays in a simulated fleet.
 *
 * @param withinZoneMicroseconds the minimum one-way delay between routers of the same zone
 * @param betweenZonesMicroseconds the minimum one-way delay between routers of different zones
 * @param costUnitMicroseconds the time in which a runner serves one unit of cost
 * @param firstProgressMicroseconds the time from sending a request to the first piece of its answer
 */
public record FleetTiming(
        long withinZoneMicroseconds,
        long betweenZonesMicroseconds,
        long costUnitMicroseconds,
        long firstProgressMicroseconds) {

    private static final double MAXIMUM_JITTER_SHARE = 0.3;

    /** Returns the timing of model calls: 20 ms per token. */
    public static FleetTiming modelCalls() {
        return new FleetTiming(250, 1_500, 20_000, 200_000);
    }

    /** Returns the timing of plain calls: 30 ms per call of cost 1. */
    public static FleetTiming plainCalls() {
        return new FleetTiming(250, 1_500, 30_000, 5_000);
    }

    /** Returns a copy without message delays between routers. */
    public FleetTiming withoutDelays() {
        return new FleetTiming(0, 0, costUnitMicroseconds, firstProgressMicroseconds);
    }

    long delayMicroseconds(ZoneName from, ZoneName to, UniformRandomProvider random) {
        long baseMicroseconds = from.equals(to) ? withinZoneMicroseconds : betweenZonesMicroseconds;
        return (long) (baseMicroseconds * (1 + MAXIMUM_JITTER_SHARE * random.nextDouble()));
    }

    long durationMicroseconds(double cost) {
        return (long) (cost * costUnitMicroseconds);
    }
}
