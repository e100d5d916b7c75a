package org.mangowall.membership;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/**
 * Whom to probe in a period.
 *
 * <p>The number of the period comes from the clock. Within a zone, routers whose clocks and views agree probe each
 * other in a rotation in which each of them is probed once in each period. Speakers rotate over the other zones too.
 */
final class ProbeSchedule {

    private static final String SPEAKER_KEY = "zone-speaker";
    private static final int EXTRA_PROBES_OF_TROUBLED_ZONES = 3;

    private final FleetMember self;
    private final int speakersPerZone;

    ProbeSchedule(FleetMember self, int speakersPerZone) {
        this.self = self;
        this.speakersPerZone = speakersPerZone;
    }

    /** The members to probe in a period. */
    List<FleetMember> targets(MemberTable table, long period) {
        List<FleetMember> targets = new ArrayList<>();
        List<FleetMember> neighbours = table.present(self.zone());
        if (!neighbours.isEmpty()) {
            targets.add(neighbours.get(rotation(neighbours, period)));
        }
        int rank = speakerRank(neighbours);
        if (rank >= 0) {
            addOtherZones(table, period, rank, targets);
        }
        return targets;
    }

    /** Whether this router probes other zones. */
    boolean isSpeaker(MemberTable table) {
        return speakerRank(table.present(self.zone())) >= 0;
    }

    private int rotation(List<FleetMember> neighbours, long period) {
        int position = 0;
        for (FleetMember neighbour : neighbours) {
            if (neighbour.name().compareTo(self.name()) < 0) {
                position++;
            }
        }
        return Math.floorMod(position + period, neighbours.size());
    }

    private int speakerRank(List<FleetMember> neighbours) {
        List<RouterName> names = new ArrayList<>();
        names.add(self.name());
        neighbours.stream()
                .filter(FleetMember::mayBeHome)
                .map(FleetMember::name)
                .forEach(names::add);
        return Rendezvous.choose(SPEAKER_KEY, names, speakersPerZone).indexOf(self.name());
    }

    private void addOtherZones(MemberTable table, long period, int rank, List<FleetMember> targets) {
        List<ZoneName> others = new ArrayList<>(table.zones());
        others.remove(self.zone());
        if (others.isEmpty()) {
            return;
        }
        long turn = period + (long) rank * others.size() / speakersPerZone;
        ZoneName zone = others.get(Math.floorMod(turn, others.size()));
        targets.add(speakerOf(table.present(zone), turn / others.size()));
        others.forEach(other -> addTroubled(table.present(other), period, targets));
    }

    private FleetMember speakerOf(List<FleetMember> members, long turn) {
        List<RouterName> names = members.stream().map(FleetMember::name).toList();
        List<RouterName> speakers = Rendezvous.choose(SPEAKER_KEY, names, speakersPerZone);
        RouterName chosen = speakers.get(Math.floorMod(turn, speakers.size()));
        return members.get(names.indexOf(chosen));
    }

    private void addTroubled(List<FleetMember> members, long period, List<FleetMember> targets) {
        boolean troubled = members.stream().anyMatch(member -> member.state() == MemberState.SUSPECT);
        if (!troubled) {
            return;
        }
        List<FleetMember> unsuspected = members.stream()
                .filter(member -> member.state() != MemberState.SUSPECT)
                .toList();
        int start = Math.floorMod(
                period * EXTRA_PROBES_OF_TROUBLED_ZONES + self.name().hashCode(), members.size());
        int count = Math.min(EXTRA_PROBES_OF_TROUBLED_ZONES, unsuspected.size());
        for (int index = 0; index < count; index++) {
            targets.add(unsuspected.get((start + index) % unsuspected.size()));
        }
    }
}
