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
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.membership.Rendezvous;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.protocol.StoredResponse;
import org.mangowall.router.spi.ClaimService;
import org.mangowall.router.spi.ControlContext;

/**
 * Handles claims of idempotency keys on one thread, both as entry router and as holder of partitions.
 *
 * <p>As entry router it sends one claim for each request to the holder of the key's partition. When the answer does not
 * arrive in time, the request is refused as not run; a claim that is granted later is released.
 */
final class ClaimsDuty implements ClaimService, DutyHandler<Runnable>, AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("claims");
    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration WITHDRAWN_CLAIM_RETENTION = Duration.ofMinutes(2);
    private static final int RING_CAPACITY_EVENTS = 8192;
    private static final int MAXIMUM_WITHDRAWN_CLAIMS = 10_000;

    private final ControlContext context;
    private final Duty<Runnable> duty;
    private final Map<RequestIdentifier, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private final Map<RequestIdentifier, WithdrawnClaim> withdrawnClaims = new LinkedHashMap<>();
    private final BlockingQueue<ClaimEvent> platformResults = new ArrayBlockingQueue<>(ClaimPartitions.COUNT);
    private final AtomicReference<FleetView> newView = new AtomicReference<>();
    private final Map<Integer, RouterName> partitionHolders = new HashMap<>();
    private ClaimsCore core;

    private record PendingClaim(
            CompletableFuture<ClaimResult> future, String keyDigest, RouterName holder, Instant deadline) {}

    private record WithdrawnClaim(String keyDigest, Instant since) {}

    ClaimsDuty(ControlContext context) {
        this.context = context;
        this.duty = new Duty<>("claims", RING_CAPACITY_EVENTS, TICK_PERIOD, this);
    }

    void start() {
        core = new ClaimsCore(ClaimSettings.defaults(), context.clock(), context.seed());
        duty.start();
    }

    /** Stores a new view for the next tick, replacing one that was not yet processed. */
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
    public void settle(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer) {
        if (!duty.offer(() -> sendSettled(request, keyDigest, ran, answer))) {
            LOG.warn("could not record the outcome of request %s; its idempotency key stays claimed", request);
        }
    }

    /** Handles a claim of another entry router; dropped when the ring is full, so that it times out there. */
    void handleClaimAsk(RouterName from, PeerMessage.ClaimAsk ask) {
        duty.offer(() -> handle(new ClaimEvent.ClaimRequested(ask.request(), ask.keyDigest(), ask.requestDigest())));
    }

    /** Handles a holder's answer to a claim of this router. */
    void handleClaimAnswer(RouterName from, PeerMessage.ClaimAnswer answer) {
        duty.offer(() -> complete(from, answer.request(), answer.verdict(), answer.answer()));
    }

    /** Handles the outcome of a request of another entry router. */
    void handleClaimSettled(PeerMessage.ClaimSettled settled) {
        duty.offer(() -> handle(
                new ClaimEvent.ClaimSettled(settled.request(), settled.keyDigest(), settled.ran(), settled.answer())));
    }

    @Override
    public void handle(Runnable task) {
        task.run();
    }

    @Override
    public void tick() {
        applyNewView();
        List<ClaimEvent> results = new ArrayList<>();
        platformResults.drainTo(results);
        results.forEach(this::handle);
        handle(new ClaimEvent.ClockTicked());
        expirePending();
    }

    private void applyNewView() {
        FleetView view = newView.getAndSet(null);
        if (view == null) {
            return;
        }
        handle(new ClaimEvent.FleetChanged(view));
        core.forgetIdle();
        List<RouterName> liveRouters = view.members().values().stream()
                .filter(FleetMember::mayBeHome)
                .map(FleetMember::name)
                .toList();
        partitionHolders.clear();
        for (int partition = 0; partition < ClaimPartitions.COUNT; partition++) {
            List<RouterName> chosenHolders = Rendezvous.choose(ClaimPartitions.name(partition), liveRouters, 1);
            partitionHolders.put(
                    partition, chosenHolders.isEmpty() ? context.self().name() : chosenHolders.getFirst());
        }
    }

    private RouterName holderOf(String keyDigest) {
        return partitionHolders.getOrDefault(
                ClaimPartitions.of(keyDigest), context.self().name());
    }

    private boolean isSelf(RouterName router) {
        return router.equals(context.self().name());
    }

    private void claim(
            RequestIdentifier request, String keyDigest, String requestDigest, CompletableFuture<ClaimResult> future) {
        RouterName holder = holderOf(keyDigest);
        Instant deadline = context.clock().instant().plus(ANSWER_TIMEOUT);
        pendingClaims.put(request, new PendingClaim(future, keyDigest, holder, deadline));
        if (isSelf(holder)) {
            handle(new ClaimEvent.ClaimRequested(request, keyDigest, requestDigest));
            return;
        }
        if (!context.send(holder, new PeerMessage.ClaimAsk(request, keyDigest, requestDigest))) {
            complete(holder, request, ClaimVerdict.UNAVAILABLE, Optional.empty());
        }
    }

    private void complete(
            RouterName holder, RequestIdentifier request, ClaimVerdict verdict, Optional<StoredResponse> answer) {
        PendingClaim claim = pendingClaims.remove(request);
        if (claim != null) {
            LOG.debug("claim for request %s: %s", request, verdict);
            claim.future().complete(new ClaimResult(verdict, answer));
            return;
        }
        WithdrawnClaim withdrawnClaim = withdrawnClaims.get(request);
        if (verdict == ClaimVerdict.GRANTED && withdrawnClaim != null) {
            LOG.info("the claim for request %s was granted after its timeout; releasing it", request);
            sendSettled(request, withdrawnClaim.keyDigest(), false, Optional.empty());
        }
    }

    private void expirePending() {
        Instant now = context.clock().instant();
        List<RequestIdentifier> overdue = pendingClaims.entrySet().stream()
                .filter(entry -> !entry.getValue().deadline().isAfter(now))
                .map(Map.Entry::getKey)
                .toList();
        overdue.forEach(request -> withdraw(request, now));
        withdrawnClaims
                .values()
                .removeIf(withdrawnClaim ->
                        withdrawnClaim.since().plus(WITHDRAWN_CLAIM_RETENTION).isBefore(now));
    }

    private void withdraw(RequestIdentifier request, Instant now) {
        PendingClaim claim = pendingClaims.remove(request);
        LOG.warn("router %s did not answer the claim for request %s in time", claim.holder(), request);
        claim.future().complete(new ClaimResult(ClaimVerdict.UNAVAILABLE, Optional.empty()));
        if (withdrawnClaims.size() < MAXIMUM_WITHDRAWN_CLAIMS) {
            withdrawnClaims.put(request, new WithdrawnClaim(claim.keyDigest(), now));
        }
        sendSettled(request, claim.keyDigest(), false, Optional.empty());
    }

    private void sendSettled(
            RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer) {
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
        core.handle(event).forEach(this::execute);
    }

    private void execute(ClaimAction action) {
        switch (action) {
            case ClaimAction.ReadObject read ->
                context.platform()
                        .read(ClaimPartitions.object(read.partition()))
                        .whenComplete((object, failure) ->
                                enqueuePlatformResult(readResult(read.partition(), object, failure)));
            case ClaimAction.WriteObject write ->
                context.platform()
                        .write(ClaimPartitions.object(write.partition()), write.expectedVersion(), write.content())
                        .whenComplete((version, failure) ->
                                enqueuePlatformResult(writeResult(write.partition(), version, failure)));
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

    /** Queues a result and wakes the thread; with at most one call per partition in flight, the queue has room. */
    private void enqueuePlatformResult(ClaimEvent result) {
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
