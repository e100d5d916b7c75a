package org.mangowall.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.protocol.ClaimVerdict;

/**
 * Decides the claims of one partition.
 *
 * <p>A claim is granted only when a confirmed write or a read shows that the platform's object contains it, so the
 * decision is safe even if several routers act as holder of the partition. After a write conflict or a lost answer
 * the object is read again and all pending claims are decided again. A write whose answer was lost may still take
 * effect as long as the object has the version that the write expects; until another write replaces that version,
 * settlements are kept and the object is written even without changes.
 */
final class PartitionClaims {

    private static final long NO_UNCONFIRMED_WRITE = -1;
    private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);
    private static final Duration MAXIMUM_RECORDS_AGE = Duration.ofSeconds(2);

    private final int partition;
    private final ClaimSettings settings;
    private final AnswerCache answers;
    private final Predicate<RequestIdentifier> mayStillRun;
    private final Backoff backoff;
    private final WriteRateLimiter rateLimiter;
    private final Map<RequestIdentifier, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private final Map<RequestIdentifier, Settlement> settlements = new LinkedHashMap<>();
    private Map<String, ClaimRecord> records = new LinkedHashMap<>();
    private Map<String, ClaimRecord> recordsBeingWritten = Map.of();
    private long version;
    private long unconfirmedWriteVersion = NO_UNCONFIRMED_WRITE;
    private boolean loaded;
    private boolean callPending;
    private Instant lastConfirmed;
    private Instant nextCallTime;

    private static final class PendingClaim {
        private final String keyDigest;
        private final String requestDigest;
        private final Instant deadline;
        private boolean attempted;

        PendingClaim(String keyDigest, String requestDigest, Instant deadline) {
            this.keyDigest = keyDigest;
            this.requestDigest = requestDigest;
            this.deadline = deadline;
        }
    }

    private record Settlement(String keyDigest, Optional<ClaimState> state) {}

    PartitionClaims(
            int partition,
            ClaimSettings settings,
            AnswerCache answers,
            Predicate<RequestIdentifier> mayStillRun,
            long seed,
            Instant now) {
        this.partition = partition;
        this.settings = settings;
        this.answers = answers;
        this.mayStillRun = mayStillRun;
        this.backoff = new Backoff(MINIMUM_BACKOFF, MAXIMUM_BACKOFF, seed + partition);
        this.rateLimiter = new WriteRateLimiter(settings.writesPerSecond(), settings.writeBurst(), now);
        this.lastConfirmed = now;
        this.nextCallTime = now;
    }

    void submit(ClaimEvent.ClaimRequested claim, Instant now, List<ClaimAction> actions) {
        if (pendingClaims.containsKey(claim.request())) {
            return;
        }
        if (pendingClaims.size() >= settings.maximumPending() || settlements.containsKey(claim.request())) {
            actions.add(answerWithoutContent(claim.request(), ClaimVerdict.UNAVAILABLE));
            return;
        }
        Instant deadline = now.plus(settings.claimTimeout());
        pendingClaims.put(claim.request(), new PendingClaim(claim.keyDigest(), claim.requestDigest(), deadline));
        advance(now, actions);
    }

    void settle(ClaimEvent.ClaimSettled settled) {
        pendingClaims.remove(settled.request());
        Optional<ClaimState> state = stateOf(settled);
        boolean addsInformation = state.isPresent() || !settlements.containsKey(settled.request());
        if (addsInformation && settlements.size() < settings.maximumPending()) {
            settlements.put(settled.request(), new Settlement(settled.keyDigest(), state));
        }
    }

    private static Optional<ClaimState> stateOf(ClaimEvent.ClaimSettled settled) {
        if (!settled.ran()) {
            return Optional.empty();
        }
        return Optional.of(settled.answer().isPresent() ? ClaimState.COMPLETED : ClaimState.OUTCOME_UNKNOWN);
    }

    void handleRead(Optional<VersionedObject> object, Instant now, List<ClaimAction> actions) {
        callPending = false;
        try {
            records =
                    object.map(found -> PartitionCodec.decode(found.content())).orElseGet(LinkedHashMap::new);
        } catch (MangowallException failure) {
            nextCallTime = now.plus(backoff.next());
            return;
        }
        version = object.map(VersionedObject::version).orElse(PlatformClient.NO_VERSION);
        markConfirmed(now);
        advance(now, actions);
    }

    void handleWritten(long newVersion, Instant now, List<ClaimAction> actions) {
        callPending = false;
        records = recordsBeingWritten;
        version = newVersion;
        markConfirmed(now);
        settlements.entrySet().removeIf(entry -> !isApplicable(entry.getKey(), entry.getValue()));
        advance(now, actions);
    }

    void handleFailure(FailureCode code, Instant now, List<ClaimAction> actions) {
        callPending = false;
        boolean conflict = code == FailureCode.PLATFORM_CONFLICT;
        if (code == FailureCode.PLATFORM_ANSWER_LOST) {
            unconfirmedWriteVersion = version;
        }
        if (conflict || code == FailureCode.PLATFORM_ANSWER_LOST) {
            loaded = false;
        }
        nextCallTime = conflict ? now : now.plus(backoff.next());
        advance(now, actions);
    }

    /** Whether no claim, settlement or platform call is pending, so that the partition may be discarded. */
    boolean isIdle() {
        return pendingClaims.isEmpty() && settlements.isEmpty() && !callPending;
    }

    /** Answers the claims that can be decided and starts the next platform call if one is due. */
    void advance(Instant now, List<ClaimAction> actions) {
        if (loaded) {
            answerDecidedClaims(now, actions);
        }
        expirePendingClaims(now, actions);
        boolean nothingPending = pendingClaims.isEmpty() && settlements.isEmpty();
        if (callPending || nothingPending || nextCallTime.isAfter(now)) {
            return;
        }
        if (!loaded) {
            callPending = true;
            actions.add(new ClaimAction.ReadObject(partition));
            return;
        }
        write(now, actions);
    }

    private void markConfirmed(Instant now) {
        loaded = true;
        lastConfirmed = now;
        nextCallTime = now;
        backoff.reset();
    }

    private void answerDecidedClaims(Instant now, List<ClaimAction> actions) {
        Iterator<Map.Entry<RequestIdentifier, PendingClaim>> iterator =
                pendingClaims.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RequestIdentifier, PendingClaim> entry = iterator.next();
            Optional<ClaimVerdict> verdict = verdict(entry.getKey(), entry.getValue(), now);
            if (verdict.isEmpty()) {
                continue;
            }
            if (verdict.get() == ClaimVerdict.IN_PROGRESS
                    && !callPending
                    && lastConfirmed.plus(MAXIMUM_RECORDS_AGE).isBefore(now)) {
                loaded = false;
                return;
            }
            iterator.remove();
            actions.add(answer(entry.getKey(), entry.getValue(), verdict.get()));
        }
    }

    private Optional<ClaimVerdict> verdict(RequestIdentifier request, PendingClaim claim, Instant now) {
        ClaimRecord record = records.get(claim.keyDigest);
        if (record == null || record.expiresAtMillis() <= now.toEpochMilli()) {
            return Optional.empty();
        }
        if (record.request().equals(request) && record.state() == ClaimState.CLAIMED) {
            return Optional.of(ClaimVerdict.GRANTED);
        }
        if (!record.requestDigest().equals(claim.requestDigest)) {
            return Optional.of(ClaimVerdict.MISMATCH);
        }
        return Optional.of(
                switch (record.state()) {
                    case COMPLETED -> ClaimVerdict.COMPLETED;
                    case OUTCOME_UNKNOWN -> ClaimVerdict.OUTCOME_UNKNOWN;
                    case CLAIMED ->
                        mayStillRun.test(record.request()) ? ClaimVerdict.IN_PROGRESS : ClaimVerdict.OUTCOME_UNKNOWN;
                });
    }

    private ClaimAction answer(RequestIdentifier request, PendingClaim claim, ClaimVerdict verdict) {
        if (verdict != ClaimVerdict.COMPLETED) {
            return answerWithoutContent(request, verdict);
        }
        RequestIdentifier earlier = records.get(claim.keyDigest).request();
        return new ClaimAction.AnswerClaim(request, verdict, answers.find(earlier));
    }

    private static ClaimAction answerWithoutContent(RequestIdentifier request, ClaimVerdict verdict) {
        return new ClaimAction.AnswerClaim(request, verdict, Optional.empty());
    }

    private void expirePendingClaims(Instant now, List<ClaimAction> actions) {
        Iterator<Map.Entry<RequestIdentifier, PendingClaim>> iterator =
                pendingClaims.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RequestIdentifier, PendingClaim> entry = iterator.next();
            if (entry.getValue().deadline.isAfter(now)) {
                continue;
            }
            iterator.remove();
            actions.add(expire(entry.getKey(), entry.getValue(), now));
        }
    }

    private ClaimAction expire(RequestIdentifier request, PendingClaim claim, Instant now) {
        Optional<ClaimVerdict> known = verdict(request, claim, now).filter(verdict -> verdict != ClaimVerdict.GRANTED);
        if (known.isPresent()) {
            return answer(request, claim, known.get());
        }
        if (claim.attempted) {
            settlements.put(request, new Settlement(claim.keyDigest, Optional.empty()));
        }
        return answerWithoutContent(request, ClaimVerdict.UNAVAILABLE);
    }

    private void write(Instant now, List<ClaimAction> actions) {
        boolean unconfirmedWriteMayApply = unconfirmedWriteVersion == version;
        if (!unconfirmedWriteMayApply) {
            settlements.entrySet().removeIf(entry -> !isApplicable(entry.getKey(), entry.getValue()));
        }
        if (pendingClaims.isEmpty() && settlements.isEmpty() || !rateLimiter.tryAcquire(now)) {
            return;
        }
        Map<String, ClaimRecord> next = new LinkedHashMap<>(records);
        next.values().removeIf(record -> record.expiresAtMillis() <= now.toEpochMilli());
        settlements.forEach((request, settlement) -> apply(request, settlement, next));
        List<RequestIdentifier> refused = addClaims(next, now);
        refused.forEach(request -> {
            pendingClaims.remove(request);
            actions.add(answerWithoutContent(request, ClaimVerdict.UNAVAILABLE));
        });
        if (next.equals(records) && !unconfirmedWriteMayApply) {
            return;
        }
        recordsBeingWritten = next;
        callPending = true;
        actions.add(new ClaimAction.WriteObject(partition, version, PartitionCodec.encode(next.values())));
    }

    private List<RequestIdentifier> addClaims(Map<String, ClaimRecord> next, Instant now) {
        long expiresAt = now.plus(settings.keyLifetime()).toEpochMilli();
        int bytes = PartitionCodec.encode(next.values()).length;
        List<RequestIdentifier> refused = new ArrayList<>();
        for (Map.Entry<RequestIdentifier, PendingClaim> entry : pendingClaims.entrySet()) {
            PendingClaim claim = entry.getValue();
            if (next.containsKey(claim.keyDigest)) {
                continue;
            }
            ClaimRecord record = new ClaimRecord(
                    claim.keyDigest, claim.requestDigest, entry.getKey(), ClaimState.CLAIMED, expiresAt);
            bytes += PartitionCodec.encode(List.of(record)).length;
            if (bytes > settings.maximumObjectBytes()) {
                if (!claim.attempted) {
                    refused.add(entry.getKey());
                }
                continue;
            }
            claim.attempted = true;
            next.put(claim.keyDigest, record);
        }
        return refused;
    }

    private boolean isApplicable(RequestIdentifier request, Settlement settlement) {
        ClaimRecord record = records.get(settlement.keyDigest());
        if (record == null || !record.request().equals(request)) {
            return false;
        }
        return record.state() == ClaimState.CLAIMED;
    }

    private static void apply(RequestIdentifier request, Settlement settlement, Map<String, ClaimRecord> next) {
        ClaimRecord record = next.get(settlement.keyDigest());
        if (record == null || !record.request().equals(request) || record.state() != ClaimState.CLAIMED) {
            return;
        }
        settlement
                .state()
                .ifPresentOrElse(
                        state -> next.put(record.keyDigest(), record.withState(state)),
                        () -> next.remove(record.keyDigest()));
    }
}
