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

/** The list of hosts, shown as it was a lag ago; hosts that no longer announce themselves drop out. */
final class HostList {

    private final Clock clock;
    private final Duration lag;
    private final Duration expiry;
    private final Deque<Announcement> notShownYet = new ArrayDeque<>();
    private final Map<String, Announcement> shown = new TreeMap<>();

    HostList(Clock clock, Duration lag, Duration expiry) {
        this.clock = clock;
        this.lag = lag;
        this.expiry = expiry;
    }

    void announce(HostDocument host) {
        notShownYet.addLast(new Announcement(host, clock.instant()));
    }

    List<HostDocument> list() {
        Instant shownTime = clock.instant().minus(lag);
        while (!notShownYet.isEmpty() && !notShownYet.peekFirst().madeAt().isAfter(shownTime)) {
            Announcement announcement = notShownYet.removeFirst();
            shown.put(announcement.host().name(), announcement);
        }
        shown.values()
                .removeIf(announcement -> announcement.madeAt().plus(expiry).isBefore(shownTime));
        List<HostDocument> hosts = new ArrayList<>();
        shown.values().forEach(announcement -> hosts.add(announcement.host()));
        return hosts;
    }

    /** An announcement and when it was made. */
    private record Announcement(HostDocument host, Instant madeAt) {}
}
