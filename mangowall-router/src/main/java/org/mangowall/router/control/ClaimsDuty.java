package org.mangowall.router.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.mangowall.claims.ClaimAction;
import org.mangowall.claims.ClaimEvent;
import org.mangowall.claims.ClaimPartitions;
import org.mangowall.claims.ClaimSettings;
import org.mangowall.claims.ClaimsCore;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.duty.DutyHandler;
import org.mangowall.kernel.log.PartLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.membership.Rendezvous;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.protocol.StoredAnswer;
import org.mangowall.router.spi.ClaimGate;
import org.mangowall.router.spi.ControlContext;

/**
 * Claims of one router, as entry of requests and as holder of partitions.
 *
 * <p>As entry it asks one holder for each request, once. A request whose answer does not come in time is refused as not
 * run; should it be granted later, the claim is given back.
 */
final class ClaimsDuty implements ClaimGate, DutyHandler<Runnable>, AutoCloseable {

    private static final PartLog LOG = PartLog.of("claims");
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration WITHDRAWN_RETENTION = Duration.ofMinutes(2);
    private static final int RING_EVENTS = 8192;
    private static final int MAXIMUM_WITHDRAWN = 10_000;

    private final ControlContext context;
    private final Duty<Runnable> duty;
    private final Map<RequestIdentifier, Pending> pending = new LinkedHashMap<>();
    private final Map<RequestIdentifier, Withdrawn> withdrawn = new LinkedHashMap<>();
    private final BlockingQueue<ClaimEvent> platformResults = new ArrayBlockingQueue<>(ClaimPartitions.COUNT);
    private final AtomicReference<FleetView> newView = new AtomicReference<>();
    private final Map<Integer, RouterName> holders = new HashMap<>();
    private ClaimsCore core;

    private record Pending(
            CompletableFuture<ClaimResult> future, String keyDigest, RouterName holder, Instant deadline) {}

    private record Withdrawn(String keyDigest, Instant since) {}

    ClaimsDuty(ControlContext context) {
        this.context = context;
        this.duty = new Duty<>("claims", RING_EVENTS, TICK_PERIOD, this);
    }

    void start() {
        core = new ClaimsCore(ClaimSettings.defaults(), context.clock(), context.seed());
        duty.start();
    }

    /** Takes a new view; the newest one counts. */
    void viewChanged(FleetView view) {
        newView.set(view);
    }

    @Override
    public CompletableFuture<ClaimResult> claim(RequestIdentifier request, String keyDigest, String requestDigest) {
        CompletableFuture<ClaimResult> future = new CompletableFuture<>();
        if (!duty.offer(() -> claim(request, keyDigest, requestDigest, future))) {
            future.complete(new ClaimResult(ClaimVerdict.UNAVAILABLE, Optional.empty()));
        }
        return future;
    }

    @Override
    public void settle(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer) {
        if (!duty.offer(() -> sendSettled(request, keyDigest, ran, answer))) {
            LOG.warn("the end of %s could not be noted; its key stays claimed", request);
        }
    }

    /** Takes the question of another entry; a full ring leaves it without an answer, which the entry takes as a no. */
    void asked(RouterName from, PeerMessage.ClaimAsk ask) {
        duty.offer(() -> handle(new ClaimEvent.ClaimRequested(ask.request(), ask.keyDigest(), ask.requestDigest())));
    }

    /** Takes a holder's word. */
    void answered(RouterName from, PeerMessage.ClaimAnswer answer) {
        duty.offer(() -> complete(from, answer.request(), answer.verdict(), answer.answer()));
    }

    /** Takes another entry's word on the end of a request. */
    void settled(PeerMessage.ClaimSettled settled) {
        duty.offer(() -> handle(
                new ClaimEvent.ClaimSettled(settled.request(), settled.keyDigest(), settled.ran(), settled.answer())));
    }

    @Override
    public void handle(Runnable step) {
        step.run();
    }

    @Override
    public void tick() {
        takeView();
        List<ClaimEvent> results = new ArrayList<>();
        platformResults.drainTo(results);
        results.forEach(this::handle);
        handle(new ClaimEvent.ClockTicked());
        expirePending();
    }

    private void takeView() {
        FleetView view = newView.getAndSet(null);
        if (view == null) {
            return;
        }
        handle(new ClaimEvent.FleetChanged(view));
        core.forgetIdle();
        List<RouterName> live = view.members().values().stream()
                .filter(FleetMember::mayBeHome)
                .map(FleetMember::name)
                .toList();
        holders.clear();
        for (int partition = 0; partition < ClaimPartitions.COUNT; partition++) {
            List<RouterName> chosen = Rendezvous.choose(ClaimPartitions.name(partition), live, 1);
            holders.put(partition, chosen.isEmpty() ? context.self().name() : chosen.getFirst());
        }
    }

    private RouterName holderOf(String keyDigest) {
        return holders.getOrDefault(
                ClaimPartitions.of(keyDigest), context.self().name());
    }

    private boolean isSelf(RouterName router) {
        return router.equals(context.self().name());
    }

    private void claim(
            RequestIdentifier request, String keyDigest, String requestDigest, CompletableFuture<ClaimResult> future) {
        RouterName holder = holderOf(keyDigest);
        Instant deadline = context.clock().instant().plus(ANSWER_TIMEOUT);
        pending.put(request, new Pending(future, keyDigest, holder, deadline));
        if (isSelf(holder)) {
            handle(new ClaimEvent.ClaimRequested(request, keyDigest, requestDigest));
            return;
        }
        if (!context.send(holder, new PeerMessage.ClaimAsk(request, keyDigest, requestDigest))) {
            complete(holder, request, ClaimVerdict.UNAVAILABLE, Optional.empty());
        }
    }

    private void complete(
            RouterName holder, RequestIdentifier request, ClaimVerdict verdict, Optional<StoredAnswer> answer) {
        Pending claim = pending.remove(request);
        if (claim != null) {
            LOG.debug("claim of %s is %s", request, verdict);
            claim.future().complete(new ClaimResult(verdict, answer));
            return;
        }
        Withdrawn late = withdrawn.get(request);
        if (verdict == ClaimVerdict.GRANTED && late != null) {
            LOG.info("the claim of %s came too late and is given back", request);
            sendSettled(request, late.keyDigest(), false, Optional.empty());
        }
    }

    private void expirePending() {
        Instant now = context.clock().instant();
        List<RequestIdentifier> overdue = pending.entrySet().stream()
                .filter(entry -> !entry.getValue().deadline().isAfter(now))
                .map(Map.Entry::getKey)
                .toList();
        overdue.forEach(request -> withdraw(request, now));
        withdrawn
                .values()
                .removeIf(late -> late.since().plus(WITHDRAWN_RETENTION).isBefore(now));
    }

    private void withdraw(RequestIdentifier request, Instant now) {
        Pending claim = pending.remove(request);
        LOG.warn("%s has not answered the claim of %s", claim.holder(), request);
        claim.future().complete(new ClaimResult(ClaimVerdict.UNAVAILABLE, Optional.empty()));
        if (withdrawn.size() < MAXIMUM_WITHDRAWN) {
            withdrawn.put(request, new Withdrawn(claim.keyDigest(), now));
        }
        sendSettled(request, claim.keyDigest(), false, Optional.empty());
    }

    private void sendSettled(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer) {
        RouterName holder = holderOf(keyDigest);
        if (isSelf(holder)) {
            handle(new ClaimEvent.ClaimSettled(request, keyDigest, ran, answer));
            return;
        }
        if (!context.send(holder, new PeerMessage.ClaimSettled(request, keyDigest, ran, answer))) {
            handle(new ClaimEvent.ClaimSettled(request, keyDigest, ran, answer));
        }
    }

    private void handle(ClaimEvent event) {
        core.handle(event).forEach(this::carryOut);
    }

    private void carryOut(ClaimAction action) {
        switch (action) {
            case ClaimAction.ReadObject read ->
                context.platform()
                        .read(ClaimPartitions.object(read.partition()))
                        .whenComplete((object, failure) -> took(readResult(read.partition(), object, failure)));
            case ClaimAction.WriteObject write ->
                context.platform()
                        .write(ClaimPartitions.object(write.partition()), write.expectedVersion(), write.content())
                        .whenComplete((version, failure) -> took(writeResult(write.partition(), version, failure)));
            case ClaimAction.AnswerClaim answer -> sendAnswer(answer);
        }
    }

    private static ClaimEvent readResult(int partition, Optional<VersionedObject> object, Throwable failure) {
        return failure == null ? new ClaimEvent.ObjectRead(partition, object) : new ClaimEvent.ReadFailed(partition);
    }

    private static ClaimEvent writeResult(int partition, Long version, Throwable failure) {
        return failure == null
                ? new ClaimEvent.ObjectWritten(partition, version)
                : new ClaimEvent.WriteFailed(partition, ConditionalWriter.codeOf(failure));
    }

    /** Each partition waits for one call at most, so the queue always has room. */
    private void took(ClaimEvent result) {
        platformResults.add(result);
        duty.offer(() -> {});
    }

    private void sendAnswer(ClaimAction.AnswerClaim answer) {
        RouterName entry = answer.request().entry();
        if (isSelf(entry)) {
            complete(entry, answer.request(), answer.verdict(), answer.answer());
            return;
        }
        context.send(entry, new PeerMessage.ClaimAnswer(answer.request(), answer.verdict(), answer.answer()));
    }

    @Override
    public void close() {
        duty.close();
    }
}
