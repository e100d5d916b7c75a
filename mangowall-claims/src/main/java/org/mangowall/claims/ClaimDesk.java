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
 * The claims of one partition.
 *
 * <p>A claim is granted only when the platform's object is known to hold it: by a confirmed write, or by a read that
 * shows it. So it does not matter how many routers think that they hold the partition. After a conflict or a lost
 * answer the object is read again and all claims that wait are decided anew. A lost write may still arrive while the
 * version is the one that it expects; until another write has taken its place, nothing that concerns it is forgotten.
 */
final class ClaimDesk {

    private static final long NOTHING_LOST = -1;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(5);
    private static final Duration FRESH = Duration.ofSeconds(2);

    private final int partition;
    private final ClaimSettings settings;
    private final KeptAnswers answers;
    private final Predicate<RequestIdentifier> mayStillRun;
    private final Backoff backoff;
    private final WriteBudget budget;
    private final Map<RequestIdentifier, Waiting> waiting = new LinkedHashMap<>();
    private final Map<RequestIdentifier, Settlement> settlements = new LinkedHashMap<>();
    private Map<String, ClaimRecord> records = new LinkedHashMap<>();
    private Map<String, ClaimRecord> written = Map.of();
    private long version;
    private long lostVersion = NOTHING_LOST;
    private boolean loaded;
    private boolean calling;
    private Instant confirmed;
    private Instant nextCall;

    private static final class Waiting {
        private final String keyDigest;
        private final String requestDigest;
        private final Instant deadline;
        private boolean attempted;

        Waiting(String keyDigest, String requestDigest, Instant deadline) {
            this.keyDigest = keyDigest;
            this.requestDigest = requestDigest;
            this.deadline = deadline;
        }
    }

    private record Settlement(String keyDigest, Optional<ClaimState> state) {}

    ClaimDesk(
            int partition,
            ClaimSettings settings,
            KeptAnswers answers,
            Predicate<RequestIdentifier> mayStillRun,
            long seed,
            Instant now) {
        this.partition = partition;
        this.settings = settings;
        this.answers = answers;
        this.mayStillRun = mayStillRun;
        this.backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, seed + partition);
        this.budget = new WriteBudget(settings.writesPerSecond(), settings.writeBurst(), now);
        this.confirmed = now;
        this.nextCall = now;
    }

    void ask(ClaimEvent.ClaimRequested asked, Instant now, List<ClaimAction> actions) {
        if (waiting.containsKey(asked.request())) {
            return;
        }
        if (waiting.size() >= settings.maximumPending() || settlements.containsKey(asked.request())) {
            actions.add(refusal(asked.request(), ClaimVerdict.UNAVAILABLE));
            return;
        }
        Instant deadline = now.plus(settings.claimTimeout());
        waiting.put(asked.request(), new Waiting(asked.keyDigest(), asked.requestDigest(), deadline));
        advance(now, actions);
    }

    void settle(ClaimEvent.ClaimSettled settled) {
        waiting.remove(settled.request());
        Optional<ClaimState> state = stateOf(settled);
        boolean addsWord = state.isPresent() || !settlements.containsKey(settled.request());
        if (addsWord && settlements.size() < settings.maximumPending()) {
            settlements.put(settled.request(), new Settlement(settled.keyDigest(), state));
        }
    }

    private static Optional<ClaimState> stateOf(ClaimEvent.ClaimSettled settled) {
        if (!settled.ran()) {
            return Optional.empty();
        }
        return Optional.of(settled.answer().isPresent() ? ClaimState.COMPLETED : ClaimState.OUTCOME_UNKNOWN);
    }

    void read(Optional<VersionedObject> object, Instant now, List<ClaimAction> actions) {
        calling = false;
        try {
            records =
                    object.map(found -> PartitionCodec.decode(found.content())).orElseGet(LinkedHashMap::new);
        } catch (MangowallException failure) {
            nextCall = now.plus(backoff.next());
            return;
        }
        version = object.map(VersionedObject::version).orElse(PlatformClient.NO_VERSION);
        confirm(now);
        advance(now, actions);
    }

    void wrote(long newVersion, Instant now, List<ClaimAction> actions) {
        calling = false;
        records = written;
        version = newVersion;
        confirm(now);
        settlements.entrySet().removeIf(entry -> !changes(entry.getKey(), entry.getValue()));
        advance(now, actions);
    }

    void failed(FailureCode code, Instant now, List<ClaimAction> actions) {
        calling = false;
        boolean raced = code == FailureCode.PLATFORM_CONFLICT;
        if (code == FailureCode.PLATFORM_ANSWER_LOST) {
            lostVersion = version;
        }
        if (raced || code == FailureCode.PLATFORM_ANSWER_LOST) {
            loaded = false;
        }
        nextCall = raced ? now : now.plus(backoff.next());
        advance(now, actions);
    }

    /** Whether nothing waits here, so that the partition may be forgotten. */
    boolean isIdle() {
        return waiting.isEmpty() && settlements.isEmpty() && !calling;
    }

    /** Does whatever can be done now. */
    void advance(Instant now, List<ClaimAction> actions) {
        if (loaded) {
            decideKnown(now, actions);
        }
        expireWaiting(now, actions);
        boolean idle = waiting.isEmpty() && settlements.isEmpty();
        if (calling || idle || nextCall.isAfter(now)) {
            return;
        }
        if (!loaded) {
            calling = true;
            actions.add(new ClaimAction.ReadObject(partition));
            return;
        }
        write(now, actions);
    }

    private void confirm(Instant now) {
        loaded = true;
        confirmed = now;
        nextCall = now;
        backoff.reset();
    }

    private void decideKnown(Instant now, List<ClaimAction> actions) {
        Iterator<Map.Entry<RequestIdentifier, Waiting>> iterator =
                waiting.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RequestIdentifier, Waiting> entry = iterator.next();
            Optional<ClaimVerdict> verdict = verdict(entry.getKey(), entry.getValue(), now);
            if (verdict.isEmpty()) {
                continue;
            }
            if (verdict.get() == ClaimVerdict.IN_PROGRESS
                    && !calling
                    && confirmed.plus(FRESH).isBefore(now)) {
                loaded = false;
                return;
            }
            iterator.remove();
            actions.add(answer(entry.getKey(), entry.getValue(), verdict.get()));
        }
    }

    private Optional<ClaimVerdict> verdict(RequestIdentifier request, Waiting claim, Instant now) {
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

    private ClaimAction answer(RequestIdentifier request, Waiting claim, ClaimVerdict verdict) {
        if (verdict != ClaimVerdict.COMPLETED) {
            return refusal(request, verdict);
        }
        RequestIdentifier earlier = records.get(claim.keyDigest).request();
        return new ClaimAction.AnswerClaim(request, verdict, answers.find(earlier));
    }

    private static ClaimAction refusal(RequestIdentifier request, ClaimVerdict verdict) {
        return new ClaimAction.AnswerClaim(request, verdict, Optional.empty());
    }

    private void expireWaiting(Instant now, List<ClaimAction> actions) {
        Iterator<Map.Entry<RequestIdentifier, Waiting>> iterator =
                waiting.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<RequestIdentifier, Waiting> entry = iterator.next();
            if (entry.getValue().deadline.isAfter(now)) {
                continue;
            }
            iterator.remove();
            actions.add(giveUp(entry.getKey(), entry.getValue(), now));
        }
    }

    private ClaimAction giveUp(RequestIdentifier request, Waiting claim, Instant now) {
        Optional<ClaimVerdict> known = verdict(request, claim, now).filter(verdict -> verdict != ClaimVerdict.GRANTED);
        if (known.isPresent()) {
            return answer(request, claim, known.get());
        }
        if (claim.attempted) {
            settlements.put(request, new Settlement(claim.keyDigest, Optional.empty()));
        }
        return refusal(request, ClaimVerdict.UNAVAILABLE);
    }

    private void write(Instant now, List<ClaimAction> actions) {
        boolean lostWriteMayArrive = lostVersion == version;
        if (!lostWriteMayArrive) {
            settlements.entrySet().removeIf(entry -> !changes(entry.getKey(), entry.getValue()));
        }
        if (waiting.isEmpty() && settlements.isEmpty() || !budget.tryTake(now)) {
            return;
        }
        Map<String, ClaimRecord> next = new LinkedHashMap<>(records);
        next.values().removeIf(record -> record.expiresAtMillis() <= now.toEpochMilli());
        settlements.forEach((request, settlement) -> apply(request, settlement, next));
        List<RequestIdentifier> refused = addClaims(next, now);
        refused.forEach(request -> {
            waiting.remove(request);
            actions.add(refusal(request, ClaimVerdict.UNAVAILABLE));
        });
        if (next.equals(records) && !lostWriteMayArrive) {
            return;
        }
        written = next;
        calling = true;
        actions.add(new ClaimAction.WriteObject(partition, version, PartitionCodec.encode(next.values())));
    }

    private List<RequestIdentifier> addClaims(Map<String, ClaimRecord> next, Instant now) {
        long expiresAt = now.plus(settings.keyLifetime()).toEpochMilli();
        int bytes = PartitionCodec.encode(next.values()).length;
        List<RequestIdentifier> refused = new ArrayList<>();
        for (Map.Entry<RequestIdentifier, Waiting> entry : waiting.entrySet()) {
            Waiting claim = entry.getValue();
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

    private boolean changes(RequestIdentifier request, Settlement settlement) {
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
