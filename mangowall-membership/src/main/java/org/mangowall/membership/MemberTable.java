package org.mangowall.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/**
 * The members that one router knows, itself not included.
 *
 * <p>Updates are ordered by incarnation, then revision, then state, so merging is idempotent and does not depend on
 * their order of arrival. Dead routers that were not known before are not added.
 */
final class MemberTable {

    private final Map<RouterName, Entry> entries = new TreeMap<>();

    private static final class Entry {
        private FleetMember member;
        private Instant silentSince;
        private Instant silenceDeadline;
        private Instant lastChange;
    }

    /** The effect of merging an update. */
    enum Change {
        /** The update was already known or outdated. */
        NOTHING,
        /** The router was unknown, was dead, or has a later incarnation than the known one. */
        APPEARED,
        /** Another part of a known member changed. */
        UPDATED
    }

    /** Merges an update; a suspected member that stays silent is dead after the suspicion timeout. */
    Change merge(FleetMember update, Instant now, Duration suspicionTimeout) {
        Entry entry = entries.get(update.name());
        if (entry == null) {
            return update.state() == MemberState.DEAD ? Change.NOTHING : insert(update, now, suspicionTimeout);
        }
        FleetMember known = entry.member;
        if (!isNewer(update, known)) {
            return Change.NOTHING;
        }
        boolean appeared = update.state() != MemberState.DEAD
                && (known.state() == MemberState.DEAD || update.incarnation() > known.incarnation());
        setMember(entry, update, now, suspicionTimeout);
        return appeared ? Change.APPEARED : Change.UPDATED;
    }

    private Change insert(FleetMember update, Instant now, Duration suspicionTimeout) {
        Entry entry = new Entry();
        setMember(entry, update, now, suspicionTimeout);
        entries.put(update.name(), entry);
        return Change.APPEARED;
    }

    private static void setMember(Entry entry, FleetMember update, Instant now, Duration suspicionTimeout) {
        entry.member = update;
        entry.lastChange = now;
        boolean suspected = update.state() == MemberState.SUSPECT;
        entry.silentSince = suspected ? now : null;
        entry.silenceDeadline = suspected ? now.plus(suspicionTimeout) : null;
    }

    static boolean isNewer(FleetMember update, FleetMember known) {
        if (update.incarnation() != known.incarnation()) {
            return update.incarnation() > known.incarnation();
        }
        if (update.revision() != known.revision()) {
            return update.revision() > known.revision();
        }
        return update.state().compareTo(known.state()) > 0;
    }

    /** Starts the suspicion timeout of a silent member; a leaving member keeps its state until the timeout ends. */
    Optional<FleetMember> suspect(RouterName name, Instant now, Duration suspicionTimeout) {
        Entry entry = entries.get(name);
        if (entry == null || entry.silenceDeadline != null || entry.member.state() == MemberState.DEAD) {
            return Optional.empty();
        }
        entry.silentSince = now;
        entry.silenceDeadline = now.plus(suspicionTimeout);
        if (entry.member.state() == MemberState.LEAVING) {
            return Optional.empty();
        }
        entry.member = entry.member.withState(MemberState.SUSPECT);
        entry.lastChange = now;
        return Optional.of(entry.member);
    }

    /** Whether to accept a reported death: the member is unknown or left, or was silent here for the given time too. */
    boolean acceptsDeath(FleetMember update, Instant now, Duration minimumSilence) {
        Entry entry = entries.get(update.name());
        if (entry == null || entry.member.incarnation() != update.incarnation()) {
            return true;
        }
        return switch (entry.member.state()) {
            case LEAVING, DEAD -> true;
            case ALIVE -> false;
            case SUSPECT -> !entry.silentSince.plus(minimumSilence).isAfter(now);
        };
    }

    /** Stops the timeout of a leaving member that answered; a suspected one must refute with a higher revision. */
    void recordAnswer(RouterName name) {
        Entry entry = entries.get(name);
        if (entry != null && entry.member.state() == MemberState.LEAVING) {
            entry.silenceDeadline = null;
        }
    }

    /** Marks the members dead whose silence exceeded the timeout, and returns them. */
    List<FleetMember> expireSilent(Instant now) {
        List<Entry> expired = entries.values().stream()
                .filter(entry -> entry.silenceDeadline != null && !entry.silenceDeadline.isAfter(now))
                .toList();
        for (Entry entry : expired) {
            entry.member = entry.member.withState(MemberState.DEAD);
            entry.silenceDeadline = null;
            entry.lastChange = now;
        }
        return expired.stream().map(entry -> entry.member).toList();
    }

    /** Extends all silence deadlines by the time for which this router itself was paused. */
    void extendDeadlines(Duration pause) {
        for (Entry entry : entries.values()) {
            if (entry.silenceDeadline != null) {
                entry.silenceDeadline = entry.silenceDeadline.plus(pause);
            }
        }
    }

    /** Removes members that have been dead for longer than the retention; true if there were any. */
    boolean forgetDead(Instant now, Duration retention) {
        return entries.values()
                .removeIf(entry -> entry.member.state() == MemberState.DEAD
                        && entry.lastChange.plus(retention).isBefore(now));
    }

    Optional<FleetMember> find(RouterName name) {
        return Optional.ofNullable(entries.get(name)).map(entry -> entry.member);
    }

    int size() {
        return entries.size();
    }

    /** All members ordered by name, dead ones included. */
    List<FleetMember> all() {
        return entries.values().stream().map(entry -> entry.member).toList();
    }

    /** The members of a zone that are not dead, ordered by name. */
    List<FleetMember> present(ZoneName zone) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.state() != MemberState.DEAD)
                .filter(member -> member.zone().equals(zone))
                .toList();
    }

    /** The zones that have members that are not dead, ordered by name. */
    List<ZoneName> zones() {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.state() != MemberState.DEAD)
                .map(FleetMember::zone)
                .distinct()
                .sorted()
                .toList();
    }

    /** The view including this router; revisions are set to 0, so that a refutation alone does not change the view. */
    FleetView view(FleetMember self) {
        Collection<FleetMember> members = new ArrayList<>();
        members.add(self.withRevision(0));
        entries.values().forEach(entry -> members.add(entry.member.withRevision(0)));
        return FleetView.of(members);
    }
}
