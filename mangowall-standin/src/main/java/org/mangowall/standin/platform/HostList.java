package org.mangowall.standin.platform;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Lists the announced hosts as of {@code lag} ago; hosts expire when they stop announcing themselves. */
final class HostList {

    private final Clock clock;
    private final Duration lag;
    private final Duration expiry;
    private final Deque<Announcement> pending = new ArrayDeque<>();
    private final Map<String, Announcement> visibleByName = new TreeMap<>();

    HostList(Clock clock, Duration lag, Duration expiry) {
        this.clock = clock;
        this.lag = lag;
        this.expiry = expiry;
    }

    void announce(HostDocument host) {
        pending.addLast(new Announcement(host, clock.instant()));
    }

    List<HostDocument> list() {
        Instant visibleTime = clock.instant().minus(lag);
        while (!pending.isEmpty() && !pending.peekFirst().announcedAt().isAfter(visibleTime)) {
            Announcement announcement = pending.removeFirst();
            visibleByName.put(announcement.host().name(), announcement);
        }
        visibleByName
                .values()
                .removeIf(
                        announcement -> announcement.announcedAt().plus(expiry).isBefore(visibleTime));
        List<HostDocument> hosts = new ArrayList<>();
        visibleByName.values().forEach(announcement -> hosts.add(announcement.host()));
        return hosts;
    }

    /** An announced host and the time of its announcement. */
    private record Announcement(HostDocument host, Instant announcedAt) {}
}
