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
 * Decides claims of idempotency keys, in any partition for which entry routers send requests.
 *
 * <p>This is a state machine without I/O: the same events at the same instants of its clock produce the same actions.
 * It is confined to one thread. Several routers may decide on the same partition at the same time; the platform's
 * conditional writes prevent conflicting grants.
 */
public final class ClaimsCore {

    private final ClaimSettings settings;
    private final Clock clock;
    private final long seed;
    private final AnswerCache answers;
    private final Map<Integer, PartitionClaims> partitions = new TreeMap<>();
    private FleetView view = FleetView.of(List.of());

    /** Starts with empty state; the seed randomizes the delays before platform calls are repeated. */
    public ClaimsCore(ClaimSettings settings, Clock clock, long seed) {
        this.settings = settings;
        this.clock = clock;
        this.seed = seed;
        this.answers = new AnswerCache(settings.maximumCachedAnswerBytes());
    }

    /** Handles one event and returns the actions to carry out, in this order. */
    public List<ClaimAction> handle(ClaimEvent event) {
        List<ClaimAction> actions = new ArrayList<>();
        Instant now = clock.instant();
        switch (event) {
            case ClaimEvent.ClaimRequested requested ->
                partition(ClaimPartitions.of(requested.keyDigest())).submit(requested, now, actions);
            case ClaimEvent.ClaimSettled settled -> settle(settled, now, actions);
            case ClaimEvent.ObjectRead read -> partition(read.partition()).handleRead(read.object(), now, actions);
            case ClaimEvent.ReadFailed failed ->
                partition(failed.partition()).handleFailure(FailureCode.PLATFORM_UNAVAILABLE, now, actions);
            case ClaimEvent.ObjectWritten written ->
                partition(written.partition()).handleWritten(written.version(), now, actions);
            case ClaimEvent.WriteFailed failed ->
                partition(failed.partition()).handleFailure(failed.code(), now, actions);
            case ClaimEvent.FleetChanged changed -> view = changed.view();
            case ClaimEvent.ClockTicked tick ->
                partitions.values().forEach(partition -> partition.advance(now, actions));
        }
        return actions;
    }

    /** Discards partitions in which nothing is pending; they are read again at the next request. */
    public void forgetIdle() {
        partitions.values().removeIf(PartitionClaims::isIdle);
    }

    private void settle(ClaimEvent.ClaimSettled settled, Instant now, List<ClaimAction> actions) {
        settled.answer().ifPresent(answer -> answers.store(settled.request(), answer));
        PartitionClaims partition = partition(ClaimPartitions.of(settled.keyDigest()));
        partition.settle(settled);
        partition.advance(now, actions);
    }

    private PartitionClaims partition(int partition) {
        return partitions.computeIfAbsent(
                partition,
                number -> new PartitionClaims(number, settings, answers, this::mayStillRun, seed, clock.instant()));
    }

    private boolean mayStillRun(RequestIdentifier request) {
        return view.member(request.entry())
                .filter(member -> member.state() != MemberState.DEAD)
                .filter(member -> member.incarnation() == request.incarnation())
                .isPresent();
    }
}
