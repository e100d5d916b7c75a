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
import org.mangowall.router.spi.ClaimGate;

/** Keeps the open requests of this router's callers. */
public final class EntryRequestHandler {

    private static final Duration BUSY_RETRY = Duration.ofSeconds(1);

    private final RouterIdentity identity;
    private final CallerSettings settings;
    private final DecisionSink decisions;
    private final RouterMetrics metrics;
    private final Supplier<Inventory> inventory;
    private final Supplier<ClaimGate> claims;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong bufferedBytes = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final Map<RequestIdentifier, EntryRequest> requests = new ConcurrentHashMap<>();

    /** Creates an empty desk. */
    public EntryRequestHandler(
            RouterIdentity identity,
            CallerSettings settings,
            DecisionSink decisions,
            RouterMetrics metrics,
            Supplier<Inventory> inventory,
            Supplier<ClaimGate> claims) {
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

    /** The open requests. */
    public int openRequests() {
        return openRequests.get();
    }

    /** The bytes of request bodies held now. */
    public long bufferedBytes() {
        return bufferedBytes.get();
    }

    /** The open request of that identifier, or null. */
    public EntryRequest find(RequestIdentifier identifier) {
        return requests.get(identifier);
    }

    /**
     * Takes a caller's request.
     *
     * @throws MangowallException when it is refused; it has not run then
     */
    EntryRequest admit(FullHttpRequest http, CallerExchange exchange) {
        Inventory current = inventory.get();
        if (current.version() == 0) {
            throw new MangowallException(FailureCode.NOT_READY, "the router has no configuration yet");
        }
        ParsedRequest parsed = new RequestParser(current).parse(http);
        RequestDescription description = describe(parsed);
        Optional<ClaimHold> claim = claimHold(parsed, description.identifier());
        EntryRequest request = new EntryRequest(this, description, parsed.content(), exchange, claim);
        reserve(request);
        requests.put(description.identifier(), request);
        if (claim.isPresent()) {
            askForClaim(request, parsed, claim.get());
        } else {
            arrive(request);
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

    private Optional<ClaimHold> claimHold(ParsedRequest parsed, RequestIdentifier identifier) {
        if (parsed.repeatable() || parsed.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ClaimHold(claims.get(), identifier, ClaimDigests.key(parsed)));
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

    private void arrive(EntryRequest request) {
        if (!decisions.offer(new DecisionEvent.CallerArrived(request.description()))) {
            request.refuse(FailureCode.ROUTER_BUSY, BUSY_RETRY);
        }
    }

    private void askForClaim(EntryRequest request, ParsedRequest parsed, ClaimHold hold) {
        claims.get()
                .claim(request.description().identifier(), ClaimDigests.key(parsed), ClaimDigests.content(parsed))
                .whenComplete((result, failure) -> {
                    if (failure != null) {
                        request.refuse(FailureCode.CLAIM_UNAVAILABLE, BUSY_RETRY);
                    } else {
                        follow(request, hold, result);
                    }
                });
    }

    private void follow(EntryRequest request, ClaimHold hold, ClaimGate.ClaimResult result) {
        if (result.verdict() == ClaimVerdict.GRANTED) {
            hold.grant();
            startClaimed(request, hold);
            return;
        }
        if (result.verdict() == ClaimVerdict.COMPLETED && result.answer().isPresent()) {
            request.replay(result.answer().get());
            return;
        }
        request.refuse(codeOf(result.verdict()), BUSY_RETRY);
    }

    private void startClaimed(EntryRequest request, ClaimHold hold) {
        if (requests.get(request.description().identifier()) != request) {
            hold.failed(RequestOutcome.NOT_RUN);
            return;
        }
        arrive(request);
    }

    private static FailureCode codeOf(ClaimVerdict verdict) {
        return switch (verdict) {
            case IN_PROGRESS -> FailureCode.CLAIM_IN_PROGRESS;
            case OUTCOME_UNKNOWN, COMPLETED -> FailureCode.CLAIM_OUTCOME_UNKNOWN;
            case MISMATCH -> FailureCode.CLAIM_MISMATCH;
            case UNAVAILABLE, GRANTED -> FailureCode.CLAIM_UNAVAILABLE;
        };
    }

    /** The caller of a request went away. */
    void left(EntryRequest request) {
        request.leave();
        decisions.post(
                new DecisionEvent.CallerDisconnected(request.description().identifier()));
    }

    void ended(EntryRequest request, RequestOutcome outcome, String code) {
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

    /**
     * A connection is gone.
     *
     * @return whether open requests depended on it
     */
    public boolean dependsOn(PeerConnection connection) {
        return requests.values().stream().anyMatch(request -> request.isBoundTo(connection));
    }
}
