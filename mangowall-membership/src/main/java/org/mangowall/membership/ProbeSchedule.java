package org.mangowall.membership;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/**
 * Chooses the members to probe in each period.
 *
 * <p>The period number is derived from the clock. Routers of a zone whose clocks and views agree form a rotation in
 * which each of them is probed once per period. The cross-zone probers of a zone also rotate over the other zones.
 */
final class ProbeSchedule {

    private static final String CROSS_ZONE_PROBER_KEY = "zone-speaker";
    private static final int EXTRA_PROBES_PER_SUSPECTED_ZONE = 3;

    private final FleetMember self;
    private final int crossZoneProbersPerZone;

    ProbeSchedule(FleetMember self, int crossZoneProbersPerZone) {
        this.self = self;
        this.crossZoneProbersPerZone = crossZoneProbersPerZone;
    }

    /** The members to probe in the given period. */
    List<FleetMember> targets(MemberTable table, long period) {
        List<FleetMember> targets = new ArrayList<>();
        List<FleetMember> zonePeers = table.present(self.zone());
        if (!zonePeers.isEmpty()) {
            targets.add(zonePeers.get(rotationIndex(zonePeers, period)));
        }
        int rank = crossZoneProberRank(zonePeers);
        if (rank >= 0) {
            addCrossZoneProbes(table, period, rank, targets);
        }
        return targets;
    }

    /** Whether this router probes other zones. */
    boolean isCrossZoneProber(MemberTable table) {
        return crossZoneProberRank(table.present(self.zone())) >= 0;
    }

    private int rotationIndex(List<FleetMember> zonePeers, long period) {
        int position = 0;
        for (FleetMember zonePeer : zonePeers) {
            if (zonePeer.name().compareTo(self.name()) < 0) {
                position++;
            }
        }
        return Math.floorMod(position + period, zonePeers.size());
    }

    private int crossZoneProberRank(List<FleetMember> zonePeers) {
        List<RouterName> names = new ArrayList<>();
        names.add(self.name());
        zonePeers.stream().filter(FleetMember::mayBeHome).map(FleetMember::name).forEach(names::add);
        return Rendezvous.choose(CROSS_ZONE_PROBER_KEY, names, crossZoneProbersPerZone)
                .indexOf(self.name());
    }

    private void addCrossZoneProbes(MemberTable table, long period, int rank, List<FleetMember> targets) {
        List<ZoneName> otherZones = new ArrayList<>(table.zones());
        otherZones.remove(self.zone());
        if (otherZones.isEmpty()) {
            return;
        }
        long turn = period + (long) rank * otherZones.size() / crossZoneProbersPerZone;
        ZoneName zone = otherZones.get(Math.floorMod(turn, otherZones.size()));
        targets.add(chooseCrossZoneProber(table.present(zone), turn / otherZones.size()));
        otherZones.forEach(other -> addExtraProbes(table.present(other), period, targets));
    }

    private FleetMember chooseCrossZoneProber(List<FleetMember> members, long turn) {
        List<RouterName> names = members.stream().map(FleetMember::name).toList();
        List<RouterName> probers = Rendezvous.choose(CROSS_ZONE_PROBER_KEY, names, crossZoneProbersPerZone);
        RouterName chosen = probers.get(Math.floorMod(turn, probers.size()));
        return members.get(names.indexOf(chosen));
    }

    private void addExtraProbes(List<FleetMember> members, long period, List<FleetMember> targets) {
        boolean hasSuspects = members.stream().anyMatch(member -> member.state() == MemberState.SUSPECT);
        if (!hasSuspects) {
            return;
        }
        List<FleetMember> unsuspected = members.stream()
                .filter(member -> member.state() != MemberState.SUSPECT)
                .toList();
        int start = Math.floorMod(
                period * EXTRA_PROBES_PER_SUSPECTED_ZONE + self.name().hashCode(), members.size());
        int count = Math.min(EXTRA_PROBES_PER_SUSPECTED_ZONE, unsuspected.size());
        for (int index = 0; index < count; index++) {
            targets.add(unsuspected.get((start + index) % unsuspected.size()));
        }
    }
}
