package org.mangowall.router.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.netty.handler.codec.http.FullHttpRequest;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.router.CallerSettings;
import org.mangowall.router.decision.DecisionSink;
import org.mangowall.router.metrics.RouterMetrics;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.spi.ClaimService;

/** Accepts the requests of this router's callers and keeps track of the open ones. */
public final class EntryRequestHandler {

    private static final Duration BUSY_RETRY_AFTER = Duration.ofSeconds(1);

    private final RouterIdentity identity;
    private final CallerSettings settings;
    private final DecisionSink decisions;
    private final RouterMetrics metrics;
    private final Supplier<Inventory> inventory;
    private final Supplier<ClaimService> claims;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong bufferedBytes = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final Map<RequestIdentifier, EntryRequest> requests = new ConcurrentHashMap<>();

    /** Creates a handler without open requests. */
    public EntryRequestHandler(
            RouterIdentity identity,
            CallerSettings settings,
            DecisionSink decisions,
            RouterMetrics metrics,
            Supplier<Inventory> inventory,
            Supplier<ClaimService> claims) {
        this.identity = identity;
        this.settings = settings;
        this.decisions = decisions;
        this.metrics = metrics;
        this.inventory = inventory;
        this.claims = claims;
    }

    RouterMetrics metrics() {
        return metrics;
    }

    DecisionSink decisions() {
        return decisions;
    }

    /** Returns the number of open requests. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Ends all open requests, which may have run. */
    public void endRequests() {
        requests.values().forEach(request -> request.refuse(FailureCode.RUNNER_TIMEOUT, Duration.ZERO));
    }

    /** Returns the total size of the open requests' bodies in bytes. */
    public long bufferedBytes() {
        return bufferedBytes.get();
    }

    /** Returns the open request with the given identifier, or null. */
    public EntryRequest find(RequestIdentifier identifier) {
        return requests.get(identifier);
    }

    /**
     * Accepts a caller's request, claims its idempotency key if needed and submits it for a decision.
     *
     * @throws MangowallException when it is refused; it has not run in that case
     */
    EntryRequest admit(FullHttpRequest http, CallerExchange exchange) {
        Inventory current = inventory.get();
        if (current.version() == 0) {
            throw new MangowallException(FailureCode.NOT_READY, "the router has no configuration yet");
        }
        ParsedRequest parsed = new RequestParser(current).parse(http);
        RequestDescription description = describe(parsed);
        Optional<RequestClaim> claim = createClaim(parsed, description.identifier());
        EntryRequest request = new EntryRequest(this, description, parsed.content(), exchange, claim);
        reserve(request);
        requests.put(description.identifier(), request);
        if (claim.isPresent()) {
            claimAndSubmit(request, parsed, claim.get());
        } else {
            submit(request);
        }
        return request;
    }

    private RequestDescription describe(ParsedRequest parsed) {
        RequestIdentifier identifier =
                new RequestIdentifier(identity.name(), identity.incarnation(), sequence.incrementAndGet());
        return new RequestDescription(
                identifier,
                parsed.workspace(),
                parsed.service().name(),
                parsed.repeatable(),
                parsed.costHint(),
                parsed.prefixHash(),
                Duration.ZERO,
                0);
    }

    private Optional<RequestClaim> createClaim(ParsedRequest parsed, RequestIdentifier identifier) {
        if (parsed.repeatable() || parsed.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new RequestClaim(claims.get(), identifier, ClaimDigests.keyDigest(parsed)));
    }

    private void reserve(EntryRequest request) {
        int open = openRequests.incrementAndGet();
        long buffered = bufferedBytes.addAndGet(request.bodyBytes());
        if (open > settings.maximumOpenRequests() || buffered > settings.maximumBufferedBytes()) {
            openRequests.decrementAndGet();
            bufferedBytes.addAndGet(-request.bodyBytes());
            throw new MangowallException(FailureCode.ROUTER_BUSY, "the router holds as many requests as it may");
        }
    }

    private void submit(EntryRequest request) {
        if (!decisions.offer(new DecisionEvent.CallerArrived(request.description()))) {
            request.refuse(FailureCode.ROUTER_BUSY, BUSY_RETRY_AFTER);
        }
    }

    private void claimAndSubmit(EntryRequest request, ParsedRequest parsed, RequestClaim claim) {
        claims.get()
                .claim(
                        request.description().identifier(),
                        ClaimDigests.keyDigest(parsed),
                        ClaimDigests.contentDigest(parsed))
                .whenComplete((result, failure) -> {
                    if (failure != null) {
                        request.refuse(FailureCode.CLAIM_UNAVAILABLE, BUSY_RETRY_AFTER);
                    } else {
                        handleClaimResult(request, claim, result);
                    }
                });
    }

    private void handleClaimResult(EntryRequest request, RequestClaim claim, ClaimService.ClaimResult result) {
        if (result.verdict() == ClaimVerdict.GRANTED) {
            claim.markGranted();
            submitClaimed(request, claim);
            return;
        }
        if (result.verdict() == ClaimVerdict.COMPLETED && result.answer().isPresent()) {
            request.replay(result.answer().get());
            return;
        }
        request.refuse(failureCodeOf(result.verdict()), BUSY_RETRY_AFTER);
    }

    private void submitClaimed(EntryRequest request, RequestClaim claim) {
        if (requests.get(request.description().identifier()) != request) {
            claim.settleFailed(RequestOutcome.NOT_RUN);
            return;
        }
        submit(request);
    }

    private static FailureCode failureCodeOf(ClaimVerdict verdict) {
        return switch (verdict) {
            case IN_PROGRESS -> FailureCode.CLAIM_IN_PROGRESS;
            case OUTCOME_UNKNOWN, COMPLETED -> FailureCode.CLAIM_OUTCOME_UNKNOWN;
            case MISMATCH -> FailureCode.CLAIM_MISMATCH;
            case UNAVAILABLE, GRANTED -> FailureCode.CLAIM_UNAVAILABLE;
        };
    }

    /** Abandons a request whose caller disconnected. */
    void callerDisconnected(EntryRequest request) {
        request.abandon();
        decisions.post(
                new DecisionEvent.CallerDisconnected(request.description().identifier()));
    }

    void requestEnded(EntryRequest request, RequestOutcome outcome, String code) {
        RequestIdentifier identifier = request.description().identifier();
        if (requests.remove(identifier) == null) {
            return;
        }
        openRequests.decrementAndGet();
        bufferedBytes.addAndGet(-request.bodyBytes());
        metrics.requestEnded(request.description().service().value(), outcome.text(), code);
        if (!code.equals(FailureCode.CALLER_GONE.code())) {
            decisions.post(new DecisionEvent.CallerAnswerEnded(identifier));
        }
    }

    /** Whether an open request takes its answer from the given connection. */
    public boolean hasRequestBoundTo(PeerConnection connection) {
        return requests.values().stream().anyMatch(request -> request.isBoundTo(connection));
    }
}
