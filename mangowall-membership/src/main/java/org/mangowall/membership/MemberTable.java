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
 * What one router knows of the others, itself not included.
 *
 * <p>News is ordered by incarnation, then by revision, then by state, so that the order and number of its arrivals do
 * not matter. Unknown routers that are dead are left out.
 */
final class MemberTable {

    private final Map<RouterName, Entry> entries = new TreeMap<>();

    private static final class Entry {
        private FleetMember member;
        private Instant silentSince;
        private Instant silentDeadline;
        private Instant changed;
    }

    /** What news of a member changed. */
    enum Change {
        /** The news was known or older than what is known. */
        NOTHING,
        /** The router was not known, or is back from the dead, or is a later incarnation. */
        APPEARED,
        /** Something else is new. */
        UPDATED
    }

    /** Takes in news; suspicion runs out after the given time. */
    Change merge(FleetMember news, Instant now, Duration suspicionTimeout) {
        Entry entry = entries.get(news.name());
        if (entry == null) {
            return news.state() == MemberState.DEAD ? Change.NOTHING : insert(news, now, suspicionTimeout);
        }
        FleetMember known = entry.member;
        if (!isNewer(news, known)) {
            return Change.NOTHING;
        }
        boolean appeared = news.state() != MemberState.DEAD
                && (known.state() == MemberState.DEAD || news.incarnation() > known.incarnation());
        set(entry, news, now, suspicionTimeout);
        return appeared ? Change.APPEARED : Change.UPDATED;
    }

    private Change insert(FleetMember news, Instant now, Duration suspicionTimeout) {
        Entry entry = new Entry();
        set(entry, news, now, suspicionTimeout);
        entries.put(news.name(), entry);
        return Change.APPEARED;
    }

    private static void set(Entry entry, FleetMember news, Instant now, Duration suspicionTimeout) {
        entry.member = news;
        entry.changed = now;
        boolean suspected = news.state() == MemberState.SUSPECT;
        entry.silentSince = suspected ? now : null;
        entry.silentDeadline = suspected ? now.plus(suspicionTimeout) : null;
    }

    static boolean isNewer(FleetMember news, FleetMember known) {
        if (news.incarnation() != known.incarnation()) {
            return news.incarnation() > known.incarnation();
        }
        if (news.revision() != known.revision()) {
            return news.revision() > known.revision();
        }
        return news.state().compareTo(known.state()) > 0;
    }

    /** Starts the time after which a member that stays silent is dead; a leaving member stays leaving meanwhile. */
    Optional<FleetMember> suspect(RouterName name, Instant now, Duration suspicionTimeout) {
        Entry entry = entries.get(name);
        if (entry == null || entry.silentDeadline != null || entry.member.state() == MemberState.DEAD) {
            return Optional.empty();
        }
        entry.silentSince = now;
        entry.silentDeadline = now.plus(suspicionTimeout);
        if (entry.member.state() == MemberState.LEAVING) {
            return Optional.empty();
        }
        entry.member = entry.member.withState(MemberState.SUSPECT);
        entry.changed = now;
        return Optional.of(entry.member);
    }

    /** Whether another router's word that a member is dead suffices: it left, or was silent here for a while too. */
    boolean believesDeath(FleetMember news, Instant now, Duration leastSilence) {
        Entry entry = entries.get(news.name());
        if (entry == null || entry.member.incarnation() != news.incarnation()) {
            return true;
        }
        return switch (entry.member.state()) {
            case LEAVING, DEAD -> true;
            case ALIVE -> false;
            case SUSPECT -> !entry.silentSince.plus(leastSilence).isAfter(now);
        };
    }

    /** Ends the silence of a leaving member that answered; a suspected one has to refute by its revision. */
    void answered(RouterName name) {
        Entry entry = entries.get(name);
        if (entry != null && entry.member.state() == MemberState.LEAVING) {
            entry.silentDeadline = null;
        }
    }

    /** Declares members dead whose silence lasted too long. */
    List<FleetMember> expireSilent(Instant now) {
        List<Entry> expired = entries.values().stream()
                .filter(entry -> entry.silentDeadline != null && !entry.silentDeadline.isAfter(now))
                .toList();
        for (Entry entry : expired) {
            entry.member = entry.member.withState(MemberState.DEAD);
            entry.silentDeadline = null;
            entry.changed = now;
        }
        return expired.stream().map(entry -> entry.member).toList();
    }

    /** Prolongs all silences by a time in which this router itself was paused. */
    void prolong(Duration pause) {
        for (Entry entry : entries.values()) {
            if (entry.silentDeadline != null) {
                entry.silentDeadline = entry.silentDeadline.plus(pause);
            }
        }
    }

    /** Forgets members that have been dead for long; true if there were any. */
    boolean forgetDead(Instant now, Duration retention) {
        return entries.values()
                .removeIf(entry -> entry.member.state() == MemberState.DEAD
                        && entry.changed.plus(retention).isBefore(now));
    }

    Optional<FleetMember> find(RouterName name) {
        return Optional.ofNullable(entries.get(name)).map(entry -> entry.member);
    }

    int size() {
        return entries.size();
    }

    /** All members in order of name, dead ones included. */
    List<FleetMember> all() {
        return entries.values().stream().map(entry -> entry.member).toList();
    }

    /** All members of a zone that are not dead, in order of name. */
    List<FleetMember> present(ZoneName zone) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.state() != MemberState.DEAD)
                .filter(member -> member.zone().equals(zone))
                .toList();
    }

    /** All zones with members that are not dead, in order of name. */
    List<ZoneName> zones() {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> member.state() != MemberState.DEAD)
                .map(FleetMember::zone)
                .distinct()
                .sorted()
                .toList();
    }

    /** The view with one more member; revisions are left out, so that a refutation alone changes nothing. */
    FleetView view(FleetMember self) {
        Collection<FleetMember> members = new ArrayList<>();
        members.add(self.withRevision(0));
        entries.values().forEach(entry -> members.add(entry.member.withRevision(0)));
        return FleetView.of(members);
    }
}
