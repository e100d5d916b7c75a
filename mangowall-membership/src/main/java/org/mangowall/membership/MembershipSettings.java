package org.mangowall.membership;

import java.time.Duration;

/**
 * The timeouts and limits of the membership protocol.
 *
 * @param probePeriod how often a router probes one peer of its zone
 * @param probeTimeout how long an answer may take before the peer is suspected
 * @param suspicionTimeout how long a suspected peer may stay silent before it counts as dead
 * @param deadRetention how long a dead router is remembered
 * @param crossZoneProbersPerZone how many routers of a zone probe other zones
 * @param maximumMembersPerMessage how many members a probe or its answer carries at most
 */
public record MembershipSettings(
        Duration probePeriod,
        Duration probeTimeout,
        Duration suspicionTimeout,
        Duration deadRetention,
        int crossZoneProbersPerZone,
        int maximumMembersPerMessage) {

    private static final Duration DEFAULT_PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_SUSPICION_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration DEFAULT_DEAD_RETENTION = Duration.ofMinutes(10);
    private static final int DEFAULT_CROSS_ZONE_PROBERS_PER_ZONE = 2;
    private static final int DEFAULT_MAXIMUM_MEMBERS_PER_MESSAGE = 8;

    /** The default settings, for fleets of all sizes. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                DEFAULT_PROBE_PERIOD,
                DEFAULT_PROBE_TIMEOUT,
                DEFAULT_SUSPICION_TIMEOUT,
                DEFAULT_DEAD_RETENTION,
                DEFAULT_CROSS_ZONE_PROBERS_PER_ZONE,
                DEFAULT_MAXIMUM_MEMBERS_PER_MESSAGE);
    }
}
