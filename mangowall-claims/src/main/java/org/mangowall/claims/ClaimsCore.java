package org.mangowall.claims;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/**
 * Decides claims of idempotency keys, of any partition that entries ask it about.
 *
 * <p>It is a pure state machine: the same events at the same instants of its clock give the same actions. It is
 * confined to one thread. Several routers may decide on the same partition at the same time; the platform's conditional
 * updates keep them apart.
 */
public final class ClaimsCore {

    private final ClaimSettings settings;
    private final Clock clock;
    private final long seed;
    private final KeptAnswers answers;
    private final Map<Integer, ClaimDesk> desks = new TreeMap<>();
    private FleetView view = FleetView.of(List.of());

    /** Starts with empty state; the seed spreads repeated calls to the platform. */
    public ClaimsCore(ClaimSettings settings, Clock clock, long seed) {
        this.settings = settings;
        this.clock = clock;
        this.seed = seed;
        this.answers = new KeptAnswers(settings.keptAnswerBytes());
    }

    /** Takes one event and gives the actions to carry out, in this order. */
    public List<ClaimAction> handle(ClaimEvent event) {
        List<ClaimAction> actions = new ArrayList<>();
        Instant now = clock.instant();
        switch (event) {
            case ClaimEvent.ClaimRequested asked ->
                desk(ClaimPartitions.of(asked.keyDigest())).ask(asked, now, actions);
            case ClaimEvent.ClaimSettled settled -> settle(settled, now, actions);
            case ClaimEvent.ObjectRead read -> desk(read.partition()).read(read.object(), now, actions);
            case ClaimEvent.ReadFailed failed ->
                desk(failed.partition()).failed(FailureCode.PLATFORM_UNAVAILABLE, now, actions);
            case ClaimEvent.ObjectWritten written -> desk(written.partition()).wrote(written.version(), now, actions);
            case ClaimEvent.WriteFailed failed -> desk(failed.partition()).failed(failed.code(), now, actions);
            case ClaimEvent.FleetChanged changed -> view = changed.view();
            case ClaimEvent.ClockTicked tick -> desks.values().forEach(desk -> desk.advance(now, actions));
        }
        return actions;
    }

    /** Forgets partitions in which nothing waits, so that they are read anew when they are asked for again. */
    public void forgetIdle() {
        desks.values().removeIf(ClaimDesk::isIdle);
    }

    private void settle(ClaimEvent.ClaimSettled settled, Instant now, List<ClaimAction> actions) {
        settled.answer().ifPresent(answer -> answers.keep(settled.request(), answer));
        ClaimDesk desk = desk(ClaimPartitions.of(settled.keyDigest()));
        desk.settle(settled);
        desk.advance(now, actions);
    }

    private ClaimDesk desk(int partition) {
        return desks.computeIfAbsent(
                partition,
                number -> new ClaimDesk(number, settings, answers, this::mayStillRun, seed, clock.instant()));
    }

    private boolean mayStillRun(RequestIdentifier request) {
        return view.member(request.entry())
                .filter(member -> member.state() != MemberState.DEAD)
                .filter(member -> member.incarnation() == request.incarnation())
                .isPresent();
    }
}
