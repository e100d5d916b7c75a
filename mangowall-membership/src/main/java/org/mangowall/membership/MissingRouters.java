package org.mangowall.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/** Routers that may run but are not live members: listed by the platform, or remembered as dead. */
final class MissingRouters {

    private final FleetMember self;
    private Map<RouterName, HostCandidate> candidates = Map.of();
    private boolean candidatesReady;
    private int rotationOffset;

    MissingRouters(FleetMember self) {
        this.self = self;
    }

    /** Replaces the candidates by the platform's current list of hosts. */
    void setCandidates(List<HostCandidate> hosts) {
        Map<RouterName, HostCandidate> listed = new LinkedHashMap<>();
        hosts.stream().filter(host -> !host.name().equals(self.name())).forEach(host -> listed.put(host.name(), host));
        candidates = listed;
        candidatesReady = true;
    }

    /** Proceeds with the candidates known so far, possibly none, because the platform's list can't be read. */
    void proceedWithoutList() {
        candidatesReady = true;
    }

    boolean areCandidatesReady() {
        return candidatesReady;
    }

    int candidateCount() {
        return candidates.size();
    }

    /** Whether the platform lists routers that are missing from the member table. */
    boolean hasUnknown(MemberTable table) {
        return candidates.keySet().stream().anyMatch(name -> table.find(name).isEmpty());
    }

    /** The next missing routers in rotation, those of the own zone first. */
    List<FleetMember> next(int count, MemberTable table, Predicate<FleetMember> eligible) {
        Map<RouterName, FleetMember> missing = new LinkedHashMap<>();
        candidates.values().forEach(host -> missing.put(host.name(), toMember(host)));
        for (FleetMember member : table.all()) {
            if (member.state() == MemberState.DEAD) {
                missing.put(member.name(), member);
            } else {
                missing.remove(member.name());
            }
        }
        List<FleetMember> ordered = missing.values().stream()
                .filter(eligible)
                .sorted((left, right) -> Boolean.compare(isInOwnZone(right), isInOwnZone(left)))
                .toList();
        return takeInRotation(ordered, Math.min(count, ordered.size()));
    }

    private List<FleetMember> takeInRotation(List<FleetMember> ordered, int count) {
        int start = rotationOffset;
        rotationOffset += count;
        return IntStream.range(start, start + count)
                .mapToObj(index -> ordered.get(Math.floorMod(index, ordered.size())))
                .toList();
    }

    private boolean isInOwnZone(FleetMember member) {
        return member.zone().equals(self.zone());
    }

    private static FleetMember toMember(HostCandidate host) {
        return new FleetMember(
                host.name(), 0, host.zone(), host.host(), host.callerPort(), host.peerPort(), MemberState.DEAD);
    }
}
