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
 * The membership protocol of one router: probes, suspicion, refutation and gossip of member updates.
 *
 * <p>This is a state machine without I/O: the same events at the same instants of its clock produce the same actions.
 * It is confined to one thread.
 */
public final class MembershipCore {

    private static final long MEMBER_LIST_SEQUENCE = 0;
    private static final int MEMBERS_PER_LIST_MESSAGE = 32;
    private static final int PERIODS_BETWEEN_MISSING_ROUTER_PROBES = 5;
    private static final int JOIN_PROBES_PER_PERIOD = 3;
    private static final int JOIN_PERIODS_WITHOUT_ANSWER = 3;
    private static final int VERIFICATION_PROBES_PER_TICK = 4;
    private static final int PEERS_NOTIFIED_OF_LEAVING = 8;
    private static final Duration MINIMUM_MEMBER_LIST_REQUEST_INTERVAL = Duration.ofSeconds(4);
    private static final Duration MAXIMUM_MEMBER_LIST_REQUEST_INTERVAL = Duration.ofMinutes(5);

    private final Clock clock;
    private final MembershipSettings settings;
    private final MemberTable table = new MemberTable();
    private final PendingProbes pendingProbes = new PendingProbes();
    private final ProbeSchedule schedule;
    private final ZoneGossipQueues gossip;
    private final MissingRouters missingRouters;
    private final Set<RouterName> routersToVerify = new TreeSet<>();
    private final List<MembershipAction> actions = new ArrayList<>();
    private FleetMember self;
    private FleetView publishedView;
    private Instant lastTick;
    private Instant lastMemberListRequest = Instant.EPOCH;
    private Duration memberListRequestInterval = MINIMUM_MEMBER_LIST_REQUEST_INTERVAL;
    private long lastPeriod;
    private long joinPeriods;
    private boolean viewChanged = true;
    private boolean memberAppeared;
    private boolean memberListReceived;
    private boolean joined;
    private boolean ended;

    /** Starts with an empty view; {@code self} is this router in state ALIVE. */
    public MembershipCore(FleetMember self, MembershipSettings settings, Clock clock) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.schedule = new ProbeSchedule(self, settings.crossZoneProbersPerZone());
        this.gossip = new ZoneGossipQueues(self.zone(), settings.maximumMembersPerMessage());
        this.missingRouters = new MissingRouters(self);
        this.lastTick = clock.instant();
        this.lastPeriod = periodOf(lastTick);
    }

    /** Handles one event and returns the actions to carry out, in this order. */
    public List<MembershipAction> handle(MembershipEvent event) {
        if (ended) {
            return List.of();
        }
        actions.clear();
        memberAppeared = false;
        switch (event) {
            case MembershipEvent.HostsListed listed -> missingRouters.setCandidates(listed.hosts());
            case MembershipEvent.HostsUnavailable unavailable -> missingRouters.proceedWithoutList();
            case MembershipEvent.ProbeReceived probe -> handleProbe(probe);
            case MembershipEvent.ProbeAnswered answer -> handleProbeAnswer(answer);
            case MembershipEvent.MembersRequested requested -> sendMembers(requested.from());
            case MembershipEvent.ConnectionLost lost -> handleConnectionLost(lost.peer());
            case MembershipEvent.LeaveBegan leave -> announceLeave(MemberState.LEAVING);
            case MembershipEvent.LeaveEnded leave -> {
                announceLeave(MemberState.DEAD);
                ended = true;
            }
            case MembershipEvent.ClockTicked tick -> tick();
        }
        if (memberAppeared) {
            publishView();
        }
        return List.copyOf(actions);
    }

    /** The current view, this router included. */
    public FleetView view() {
        return table.view(self);
    }

    /** Whether the first view is complete enough to accept requests. */
    public boolean isJoined() {
        return joined;
    }

    private void handleProbe(MembershipEvent.ProbeReceived probe) {
        probe.members().forEach(member -> mergeUpdate(probe.from(), member, true));
        table.recordAnswer(probe.from());
        if (!memberListReceived) {
            requestMembers(probe.from());
        }
        table.find(probe.from())
                .ifPresent(peer -> actions.add(new MembershipAction.SendProbeAnswer(
                        peer.name(), probe.sequence(), gossip.compose(self, peer, peerCount()))));
    }

    private void handleProbeAnswer(MembershipEvent.ProbeAnswered answer) {
        pendingProbes.complete(answer.from(), answer.sequence());
        boolean shouldGossip = answer.sequence() != MEMBER_LIST_SEQUENCE;
        answer.members().forEach(member -> mergeUpdate(answer.from(), member, shouldGossip));
        table.recordAnswer(answer.from());
        memberListReceived |= !shouldGossip;
        if (!joined) {
            join();
        }
        if (!memberListReceived || missingRouters.hasUnknown(table)) {
            requestMembers(answer.from());
        } else {
            memberListRequestInterval = MINIMUM_MEMBER_LIST_REQUEST_INTERVAL;
        }
    }

    private void sendMembers(RouterName to) {
        List<FleetMember> present = table.all().stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .toList();
        for (int start = 0; start < present.size(); start += MEMBERS_PER_LIST_MESSAGE) {
            int end = Math.min(present.size(), start + MEMBERS_PER_LIST_MESSAGE);
            actions.add(new MembershipAction.SendProbeAnswer(to, MEMBER_LIST_SEQUENCE, present.subList(start, end)));
        }
    }

    private void mergeUpdate(RouterName from, FleetMember received, boolean shouldGossip) {
        if (received.name().equals(self.name())) {
            mergeUpdateOfSelf(received);
            return;
        }
        Optional<FleetMember> before = table.find(received.name());
        if (isThirdPartyReport(from, received)) {
            if (before.isPresent() && isVerifiedHere(received)) {
                routersToVerify.add(received.name());
            }
            return;
        }
        FleetMember member = downgradeUnconfirmedDeath(from, received);
        MemberTable.Change change = table.merge(member, clock.instant(), suspicionTimeoutFor(member));
        if (change == MemberTable.Change.NOTHING) {
            before.filter(known -> isContradicted(known, member)).ifPresent(known -> routersToVerify.add(known.name()));
            return;
        }
        viewChanged = true;
        memberAppeared |= change == MemberTable.Change.APPEARED;
        if (shouldGossip) {
            gossip.add(member);
        }
        before.filter(known -> isLoss(known, member)).ifPresent(this::reportLost);
        if (member.state() == MemberState.SUSPECT && isVerifiedHere(member)) {
            routersToVerify.add(member.name());
        }
        boolean wasDead =
                before.filter(known -> known.state() == MemberState.DEAD).isPresent();
        if (change == MemberTable.Change.APPEARED && wasDead) {
            requestMembers(member.name());
        }
    }

    /** Whether a router outside both this zone and the zone of the member reports the member suspected or dead. */
    private boolean isThirdPartyReport(RouterName from, FleetMember member) {
        if (member.state() != MemberState.SUSPECT && member.state() != MemberState.DEAD) {
            return false;
        }
        return table.find(from)
                .filter(sender -> !isInOwnZone(sender) && !sender.zone().equals(member.zone()))
                .isPresent();
    }

    /** Turns a reported death into a suspicion unless the member reported it itself or its silence here confirms it. */
    private FleetMember downgradeUnconfirmedDeath(RouterName from, FleetMember member) {
        if (member.state() != MemberState.DEAD || from.equals(member.name())) {
            return member;
        }
        boolean accepted = table.acceptsDeath(member, clock.instant(), settings.suspicionTimeout());
        return accepted ? member : member.withState(MemberState.SUSPECT);
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

    /** Whether this router probes the member itself to verify a report about it. */
    private boolean isVerifiedHere(FleetMember member) {
        return isInOwnZone(member) || schedule.isCrossZoneProber(table);
    }

    private void mergeUpdateOfSelf(FleetMember received) {
        if (received.incarnation() > self.incarnation()) {
            actions.add(new MembershipAction.ReportSuperseded(received.incarnation()));
            return;
        }
        if (MemberTable.isNewer(received, self)) {
            self = self.withRevision(received.revision() + 1);
            announce(self);
        }
    }

    private void handleConnectionLost(RouterName peer) {
        if (!pendingProbes.isOpen(peer)) {
            routersToVerify.add(peer);
            return;
        }
        pendingProbes.discard(peer);
        suspect(peer, clock.instant());
    }

    private void announceLeave(MemberState state) {
        self = self.withState(state).withRevision(self.revision() + 1);
        announce(self);
        List<FleetMember> peers = new ArrayList<>(table.present(self.zone()));
        table.zones().stream()
                .filter(zone -> !zone.equals(self.zone()))
                .forEach(zone -> peers.addAll(table.present(zone)));
        peers.stream().limit(PEERS_NOTIFIED_OF_LEAVING).forEach(peer -> probe(peer, clock.instant()));
    }

    private void tick() {
        Instant now = clock.instant();
        compensateForOwnPause(now);
        pendingProbes.removeOverdue(now).forEach(peer -> suspect(peer, now));
        for (FleetMember dead : table.expireSilent(now)) {
            announce(dead);
            reportLost(dead);
        }
        if (table.forgetDead(now, settings.deadRetention())) {
            viewChanged = true;
        }
        probeRoutersToVerify(now);
        long period = periodOf(now);
        if (period > lastPeriod) {
            lastPeriod = period;
            runPeriod(period, now);
        }
        publishView();
    }

    /** After a pause of this process, discards its open probes and extends deadlines to avoid false suspicions. */
    private void compensateForOwnPause(Instant now) {
        Duration gap = Duration.between(lastTick, now);
        lastTick = now;
        if (gap.compareTo(settings.probePeriod()) <= 0) {
            return;
        }
        pendingProbes.clear();
        table.extendDeadlines(gap);
    }

    private void suspect(RouterName peer, Instant now) {
        Duration timeout = table.find(peer).map(this::suspicionTimeoutFor).orElse(Duration.ZERO);
        table.suspect(peer, now, timeout).ifPresent(suspected -> {
            announce(suspected);
            routersToVerify.add(peer);
        });
    }

    private Duration suspicionTimeoutFor(FleetMember member) {
        if (isInOwnZone(member)) {
            return settings.suspicionTimeout();
        }
        int rounds = GossipRounds.toReach(table.size());
        return settings.suspicionTimeout().plus(settings.probePeriod().multipliedBy(rounds));
    }

    private void probeRoutersToVerify(Instant now) {
        List<RouterName> next =
                routersToVerify.stream().limit(VERIFICATION_PROBES_PER_TICK).toList();
        for (RouterName peer : next) {
            routersToVerify.remove(peer);
            if (!pendingProbes.isOpen(peer)) {
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
        if (Math.floorMod(period + self.name().hashCode(), PERIODS_BETWEEN_MISSING_ROUTER_PROBES) == 0) {
            boolean crossZoneProber = schedule.isCrossZoneProber(table);
            missingRouters
                    .next(1, table, member -> crossZoneProber || isInOwnZone(member) || isUnknown(member))
                    .forEach(peer -> probe(peer, now));
        }
    }

    private boolean isUnknown(FleetMember member) {
        return table.find(member.name()).isEmpty();
    }

    private void probeToJoin(Instant now) {
        if (!missingRouters.areCandidatesReady()) {
            return;
        }
        joinPeriods++;
        long maximumJoinPeriods =
                JOIN_PERIODS_WITHOUT_ANSWER + (long) missingRouters.candidateCount() / JOIN_PROBES_PER_PERIOD;
        if (missingRouters.candidateCount() == 0 || joinPeriods > maximumJoinPeriods) {
            join();
            return;
        }
        missingRouters.next(JOIN_PROBES_PER_PERIOD, table, member -> true).forEach(peer -> probe(peer, now));
    }

    private void join() {
        joined = true;
        actions.add(new MembershipAction.ReportJoined());
    }

    private void probe(FleetMember target, Instant now) {
        long sequence = pendingProbes.open(target.name(), now.plus(settings.probeTimeout()));
        actions.add(new MembershipAction.SendProbe(target, sequence, gossip.compose(self, target, peerCount())));
    }

    private int peerCount() {
        return table.present(self.zone()).size() + table.zones().size();
    }

    private boolean isInOwnZone(FleetMember member) {
        return member.zone().equals(self.zone());
    }

    private void announce(FleetMember member) {
        gossip.add(member);
        viewChanged = true;
    }

    private void reportLost(FleetMember member) {
        pendingProbes.discard(member.name());
        actions.add(new MembershipAction.ReportLost(member.name(), member.incarnation()));
    }

    private void requestMembers(RouterName peer) {
        Instant now = clock.instant();
        if (lastMemberListRequest.plus(memberListRequestInterval).isAfter(now)) {
            return;
        }
        lastMemberListRequest = now;
        memberListRequestInterval =
                shorter(memberListRequestInterval.multipliedBy(3).dividedBy(2), MAXIMUM_MEMBER_LIST_REQUEST_INTERVAL);
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
