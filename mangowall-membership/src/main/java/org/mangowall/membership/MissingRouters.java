package org.mangowall.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/** Routers that may be there although they do not count as present: named by the platform, or remembered as dead. */
final class MissingRouters {

    private final FleetMember self;
    private Map<RouterName, HostCandidate> candidates = Map.of();
    private boolean hostsKnown;
    private int turn;

    MissingRouters(FleetMember self) {
        this.self = self;
    }

    /** Takes the platform's list in place of the one before. */
    void list(List<HostCandidate> hosts) {
        Map<RouterName, HostCandidate> listed = new LinkedHashMap<>();
        hosts.stream().filter(host -> !host.name().equals(self.name())).forEach(host -> listed.put(host.name(), host));
        candidates = listed;
        hostsKnown = true;
    }

    /** Goes on without the platform's list, or with the one before. */
    void goOnWithoutList() {
        hostsKnown = true;
    }

    boolean areHostsKnown() {
        return hostsKnown;
    }

    int candidateCount() {
        return candidates.size();
    }

    /** Whether the platform names routers of which nothing is known at all. */
    boolean hasUnknown(MemberTable table) {
        return candidates.keySet().stream().anyMatch(name -> table.find(name).isEmpty());
    }

    /** The next few missing routers in rotation, those of the own zone first. */
    List<FleetMember> next(int count, MemberTable table, Predicate<FleetMember> wanted) {
        Map<RouterName, FleetMember> missing = new LinkedHashMap<>();
        candidates.values().forEach(host -> missing.put(host.name(), asMember(host)));
        for (FleetMember member : table.all()) {
            if (member.state() == MemberState.DEAD) {
                missing.put(member.name(), member);
            } else {
                missing.remove(member.name());
            }
        }
        List<FleetMember> ordered = missing.values().stream()
                .filter(wanted)
                .sorted((left, right) -> Boolean.compare(isNear(right), isNear(left)))
                .toList();
        return rotate(ordered, Math.min(count, ordered.size()));
    }

    private List<FleetMember> rotate(List<FleetMember> ordered, int count) {
        int start = turn;
        turn += count;
        return IntStream.range(start, start + count)
                .mapToObj(index -> ordered.get(Math.floorMod(index, ordered.size())))
                .toList();
    }

    private boolean isNear(FleetMember member) {
        return member.zone().equals(self.zone());
    }

    private static FleetMember asMember(HostCandidate host) {
        return new FleetMember(
                host.name(), 0, host.zone(), host.host(), host.callerPort(), host.peerPort(), MemberState.DEAD);
    }
}
