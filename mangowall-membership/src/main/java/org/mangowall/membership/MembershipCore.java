package org.mangowall.membership;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/**
 * The membership of one router: probes, suspicion, refutation and the spread of news.
 *
 * <p>It is a pure state machine: the same events at the same instants of its clock give the same actions. It is
 * confined to one thread.
 */
public final class MembershipCore {

    private static final long LISTING_SEQUENCE = 0;
    private static final int MEMBERS_PER_PAGE = 32;
    private static final int REVIVAL_PERIODS = 5;
    private static final int JOIN_PROBES_PER_PERIOD = 3;
    private static final int JOIN_PERIODS_WITHOUT_ANSWER = 3;
    private static final int ASKED_PROBES_PER_TICK = 4;
    private static final int PEERS_TOLD_OF_LEAVING = 8;
    private static final Duration FIRST_MEMBERS_ASK_INTERVAL = Duration.ofSeconds(4);
    private static final Duration LAST_MEMBERS_ASK_INTERVAL = Duration.ofMinutes(5);

    private final Clock clock;
    private final MembershipSettings settings;
    private final MemberTable table = new MemberTable();
    private final ProbeLedger ledger = new ProbeLedger();
    private final ProbeSchedule schedule;
    private final NewsBoard news;
    private final MissingRouters missing;
    private final Set<RouterName> probesAskedFor = new TreeSet<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private FleetMember self;
    private FleetView publishedView;
    private Instant lastTick;
    private Instant lastMembersAsk = Instant.EPOCH;
    private Duration membersAskInterval = FIRST_MEMBERS_ASK_INTERVAL;
    private long lastPeriod;
    private long joinPeriods;
    private boolean viewChanged = true;
    private boolean newcomer;
    private boolean listingSeen;
    private boolean joined;
    private boolean ended;

    /** Starts with an empty view; {@code self} is this router, alive. */
    public MembershipCore(FleetMember self, MembershipSettings settings, Clock clock) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.schedule = new ProbeSchedule(self, settings.speakersPerZone());
        this.news = new NewsBoard(self.zone(), settings.newsPerMessage());
        this.missing = new MissingRouters(self);
        this.lastTick = clock.instant();
        this.lastPeriod = periodOf(lastTick);
    }

    /** Takes one event and gives the actions to carry out, in this order. */
    public List<MembershipAction> handle(MembershipEvent event) {
        if (ended) {
            return List.of();
        }
        actions.clear();
        newcomer = false;
        switch (event) {
            case MembershipEvent.HostsListed listed -> missing.list(listed.hosts());
            case MembershipEvent.HostsUnavailable unavailable -> missing.goOnWithoutList();
            case MembershipEvent.ProbeReceived probe -> answerProbe(probe);
            case MembershipEvent.ProbeAnswered answer -> takeAnswer(answer);
            case MembershipEvent.MembersRequested asked -> sendMembers(asked.from());
            case MembershipEvent.ConnectionLost lost -> checkPeer(lost.peer());
            case MembershipEvent.LeaveBegan leave -> leave(MemberState.LEAVING);
            case MembershipEvent.LeaveEnded leave -> {
                leave(MemberState.DEAD);
                ended = true;
            }
            case MembershipEvent.ClockTicked tick -> tick();
        }
        if (newcomer) {
            publishView();
        }
        return List.copyOf(actions);
    }

    /** The present view, this router included. */
    public FleetView view() {
        return table.view(self);
    }

    /** Whether the first view is complete enough to take work. */
    public boolean isJoined() {
        return joined;
    }

    private void answerProbe(MembershipEvent.ProbeReceived probe) {
        probe.members().forEach(member -> mergeNews(probe.from(), member, true));
        table.answered(probe.from());
        if (!listingSeen) {
            askMembers(probe.from());
        }
        table.find(probe.from())
                .ifPresent(peer -> actions.add(new MembershipAction.SendProbeAnswer(
                        peer.name(), probe.sequence(), news.compose(self, peer, peerCount()))));
    }

    private void takeAnswer(MembershipEvent.ProbeAnswered answer) {
        ledger.answered(answer.from(), answer.sequence());
        boolean isNews = answer.sequence() != LISTING_SEQUENCE;
        answer.members().forEach(member -> mergeNews(answer.from(), member, isNews));
        table.answered(answer.from());
        listingSeen |= !isNews;
        if (!joined) {
            join();
        }
        if (!listingSeen || missing.hasUnknown(table)) {
            askMembers(answer.from());
        } else {
            membersAskInterval = FIRST_MEMBERS_ASK_INTERVAL;
        }
    }

    private void sendMembers(RouterName to) {
        List<FleetMember> present = table.all().stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .toList();
        for (int start = 0; start < present.size(); start += MEMBERS_PER_PAGE) {
            int end = Math.min(present.size(), start + MEMBERS_PER_PAGE);
            actions.add(new MembershipAction.SendProbeAnswer(to, LISTING_SEQUENCE, present.subList(start, end)));
        }
    }

    private void mergeNews(RouterName from, FleetMember received, boolean isNews) {
        if (received.name().equals(self.name())) {
            mergeNewsOfSelf(received);
            return;
        }
        Optional<FleetMember> before = table.find(received.name());
        if (isHearsay(from, received)) {
            if (before.isPresent() && isWatchedHere(received)) {
                probesAskedFor.add(received.name());
            }
            return;
        }
        FleetMember member = withoutDoubtfulDeath(from, received);
        MemberTable.Change change = table.merge(member, clock.instant(), silenceAllowed(member));
        if (change == MemberTable.Change.NOTHING) {
            before.filter(known -> isContradicted(known, member)).ifPresent(known -> probesAskedFor.add(known.name()));
            return;
        }
        viewChanged = true;
        newcomer |= change == MemberTable.Change.APPEARED;
        if (isNews) {
            news.add(member);
        }
        before.filter(known -> isLoss(known, member)).ifPresent(this::reportLost);
        if (member.state() == MemberState.SUSPECT && isWatchedHere(member)) {
            probesAskedFor.add(member.name());
        }
        boolean wasDead =
                before.filter(known -> known.state() == MemberState.DEAD).isPresent();
        if (change == MemberTable.Change.APPEARED && wasDead) {
            askMembers(member.name());
        }
    }

    private boolean isHearsay(RouterName from, FleetMember member) {
        if (member.state() != MemberState.SUSPECT && member.state() != MemberState.DEAD) {
            return false;
        }
        return table.find(from)
                .filter(sender -> !isNear(sender) && !sender.zone().equals(member.zone()))
                .isPresent();
    }

    private FleetMember withoutDoubtfulDeath(RouterName from, FleetMember member) {
        if (member.state() != MemberState.DEAD || from.equals(member.name())) {
            return member;
        }
        boolean believed = table.believesDeath(member, clock.instant(), settings.suspicionTimeout());
        return believed ? member : member.withState(MemberState.SUSPECT);
    }

    private static boolean isContradicted(FleetMember known, FleetMember member) {
        return known.state() == MemberState.DEAD
                && member.state() != MemberState.DEAD
                && known.incarnation() == member.incarnation();
    }

    private static boolean isLoss(FleetMember known, FleetMember member) {
        if (known.state() == MemberState.DEAD) {
            return false;
        }
        return member.state() == MemberState.DEAD || member.incarnation() > known.incarnation();
    }

    private boolean isWatchedHere(FleetMember member) {
        return isNear(member) || schedule.isSpeaker(table);
    }

    private void mergeNewsOfSelf(FleetMember received) {
        if (received.incarnation() > self.incarnation()) {
            actions.add(new MembershipAction.ReportSuperseded(received.incarnation()));
            return;
        }
        if (MemberTable.isNewer(received, self)) {
            self = self.withRevision(received.revision() + 1);
            spread(self);
        }
    }

    private void checkPeer(RouterName peer) {
        if (!ledger.isOpen(peer)) {
            probesAskedFor.add(peer);
            return;
        }
        ledger.drop(peer);
        suspect(peer, clock.instant());
    }

    private void leave(MemberState state) {
        self = self.withState(state).withRevision(self.revision() + 1);
        spread(self);
        List<FleetMember> peers = new ArrayList<>(table.present(self.zone()));
        table.zones().stream()
                .filter(zone -> !zone.equals(self.zone()))
                .forEach(zone -> peers.addAll(table.present(zone)));
        peers.stream().limit(PEERS_TOLD_OF_LEAVING).forEach(peer -> probe(peer, clock.instant()));
    }

    private void tick() {
        Instant now = clock.instant();
        allowForOwnPause(now);
        ledger.takeOverdue(now).forEach(peer -> suspect(peer, now));
        for (FleetMember dead : table.expireSilent(now)) {
            spread(dead);
            reportLost(dead);
        }
        if (table.forgetDead(now, settings.deadRetention())) {
            viewChanged = true;
        }
        probeAskedFor(now);
        long period = periodOf(now);
        if (period > lastPeriod) {
            lastPeriod = period;
            runPeriod(period, now);
        }
        publishView();
    }

    private void allowForOwnPause(Instant now) {
        Duration gap = Duration.between(lastTick, now);
        lastTick = now;
        if (gap.compareTo(settings.probePeriod()) <= 0) {
            return;
        }
        ledger.clear();
        table.prolong(gap);
    }

    private void suspect(RouterName peer, Instant now) {
        Duration allowed = table.find(peer).map(this::silenceAllowed).orElse(Duration.ZERO);
        table.suspect(peer, now, allowed).ifPresent(suspected -> {
            spread(suspected);
            probesAskedFor.add(peer);
        });
    }

    private Duration silenceAllowed(FleetMember member) {
        if (isNear(member)) {
            return settings.suspicionTimeout();
        }
        int rounds = Doublings.of(table.size());
        return settings.suspicionTimeout().plus(settings.probePeriod().multipliedBy(rounds));
    }

    private void probeAskedFor(Instant now) {
        List<RouterName> next =
                probesAskedFor.stream().limit(ASKED_PROBES_PER_TICK).toList();
        for (RouterName peer : next) {
            probesAskedFor.remove(peer);
            if (!ledger.isOpen(peer)) {
                table.find(peer).ifPresent(member -> probe(member, now));
            }
        }
    }

    private void runPeriod(long period, Instant now) {
        schedule.targets(table, period).forEach(target -> probe(target, now));
        if (!joined) {
            probeToJoin(now);
            return;
        }
        if (Math.floorMod(period + self.name().hashCode(), REVIVAL_PERIODS) == 0) {
            boolean speaker = schedule.isSpeaker(table);
            missing.next(1, table, member -> speaker || isNear(member) || isUnknown(member))
                    .forEach(peer -> probe(peer, now));
        }
    }

    private boolean isUnknown(FleetMember member) {
        return table.find(member.name()).isEmpty();
    }

    private void probeToJoin(Instant now) {
        if (!missing.areHostsKnown()) {
            return;
        }
        joinPeriods++;
        long enoughPeriods = JOIN_PERIODS_WITHOUT_ANSWER + (long) missing.candidateCount() / JOIN_PROBES_PER_PERIOD;
        if (missing.candidateCount() == 0 || joinPeriods > enoughPeriods) {
            join();
            return;
        }
        missing.next(JOIN_PROBES_PER_PERIOD, table, member -> true).forEach(peer -> probe(peer, now));
    }

    private void join() {
        joined = true;
        actions.add(new MembershipAction.ReportJoined());
    }

    private void probe(FleetMember target, Instant now) {
        long sequence = ledger.open(target.name(), now.plus(settings.probeTimeout()));
        actions.add(new MembershipAction.SendProbe(target, sequence, news.compose(self, target, peerCount())));
    }

    private int peerCount() {
        return table.present(self.zone()).size() + table.zones().size();
    }

    private boolean isNear(FleetMember member) {
        return member.zone().equals(self.zone());
    }

    private void spread(FleetMember member) {
        news.add(member);
        viewChanged = true;
    }

    private void reportLost(FleetMember member) {
        ledger.drop(member.name());
        actions.add(new MembershipAction.ReportLost(member.name(), member.incarnation()));
    }

    private void askMembers(RouterName peer) {
        Instant now = clock.instant();
        if (lastMembersAsk.plus(membersAskInterval).isAfter(now)) {
            return;
        }
        lastMembersAsk = now;
        membersAskInterval = shorter(membersAskInterval.multipliedBy(3).dividedBy(2), LAST_MEMBERS_ASK_INTERVAL);
        actions.add(new MembershipAction.RequestMembers(peer));
    }

    private static Duration shorter(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }

    private void publishView() {
        if (!viewChanged) {
            return;
        }
        viewChanged = false;
        FleetView view = table.view(self);
        if (view.equals(publishedView)) {
            return;
        }
        publishedView = view;
        actions.addFirst(new MembershipAction.ChangeView(view));
    }

    private long periodOf(Instant instant) {
        return instant.toEpochMilli() / settings.probePeriod().toMillis();
    }
}
