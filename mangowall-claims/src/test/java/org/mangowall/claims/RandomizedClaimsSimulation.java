package org.mangowall.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredResponse;

/**
 * Simulates several claims cores on one platform with a seeded random order of events: platform calls that take effect
 * late, lost answers, outages, paused and restarted holders, and entry routers that withdraw claims or crash.
 */
final class RandomizedClaimsSimulation {

    private static final int HOLDERS = 3;
    private static final int KEYS = 6;
    private static final int STEPS = 3000;
    private static final RouterName ENTRY = new RouterName("entry-1");

    final Map<String, List<RequestIdentifier>> runs = new HashMap<>();
    final Map<ClaimVerdict, Integer> verdicts = new HashMap<>();

    private final Random random;
    private final ManualClock clock = new ManualClock(Instant.ofEpochSecond(1_000_000));
    private final InMemoryPlatform platform = new InMemoryPlatform(clock);
    private final List<ClaimsCore> cores = new ArrayList<>();
    private final Set<Integer> paused = new HashSet<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private final Map<RequestIdentifier, Request> openRequests = new HashMap<>();
    private final Map<RequestIdentifier, Request> runningRequests = new HashMap<>();
    private long sequence;

    /** A platform call that takes effect at a random later time, even if its core no longer waits for it. */
    private record Call(int holder, ClaimsCore core, ClaimAction action) {}

    /** An event in transit to a holder; it is dropped if a core is given and the holder has restarted since. */
    private record Message(int holder, Optional<ClaimsCore> expectedCore, ClaimEvent event) {}

    private record Request(String key, String digest, int holder) {}

    RandomizedClaimsSimulation(long seed) {
        this.random = new Random(seed);
        for (int holder = 0; holder < HOLDERS; holder++) {
            cores.add(newCore(holder));
        }
    }

    private ClaimsCore newCore(int holder) {
        ClaimsCore core = new ClaimsCore(ClaimSettings.defaults(), clock, random.nextLong());
        FleetMember entry = new FleetMember(ENTRY, 1, new ZoneName("zone-1"), "10.0.0.1", 1, 2, MemberState.ALIVE);
        core.handle(new ClaimEvent.FleetChanged(FleetView.of(List.of(entry))));
        return core;
    }

    void run() {
        for (int step = 0; step < STEPS; step++) {
            step();
        }
    }

    private void step() {
        clock.advance(Duration.ofMillis(random.nextInt(40)));
        int choice = random.nextInt(100);
        if (choice < 20) {
            requestClaim();
        } else if (choice < 45) {
            executeCall();
        } else if (choice < 75) {
            deliver();
        } else if (choice < 85) {
            endRun();
        } else if (choice < 90) {
            withdraw();
        } else {
            injectFault(choice);
        }
        for (int holder = 0; holder < HOLDERS; holder++) {
            if (!paused.contains(holder)) {
                handle(holder, new ClaimEvent.ClockTicked());
            }
        }
    }

    private void injectFault(int choice) {
        int holder = random.nextInt(HOLDERS);
        switch (choice) {
            case 90, 91 -> paused.add(holder);
            case 92, 93, 94 -> paused.clear();
            case 95 -> cores.set(holder, newCore(holder));
            case 96 -> platform.setDown(random.nextInt(3) == 0);
            case 97 -> clock.advance(Duration.ofSeconds(random.nextInt(4)));
            case 98 -> cores.get(holder).forgetIdle();
            default -> platform.setDown(false);
        }
    }

    private void requestClaim() {
        sequence++;
        String key = "key-" + random.nextInt(KEYS);
        RequestIdentifier request = new RequestIdentifier(ENTRY, 1, sequence);
        Request newRequest = new Request(key, "content-of-" + key, random.nextInt(HOLDERS));
        openRequests.put(request, newRequest);
        messages.add(new Message(
                newRequest.holder(),
                Optional.empty(),
                new ClaimEvent.ClaimRequested(request, key, newRequest.digest())));
    }

    private void executeCall() {
        if (calls.isEmpty()) {
            return;
        }
        Call call = calls.remove(random.nextInt(calls.size()));
        ClaimEvent result = execute(call.action());
        if (call.holder() >= 0) {
            messages.add(new Message(call.holder(), Optional.of(call.core()), result));
        }
    }

    private ClaimEvent execute(ClaimAction action) {
        if (action instanceof ClaimAction.ReadObject read) {
            var answer = platform.read(ClaimPartitions.object(read.partition()));
            return answer.isCompletedExceptionally()
                    ? new ClaimEvent.ReadFailed(read.partition())
                    : new ClaimEvent.ObjectRead(read.partition(), answer.join());
        }
        ClaimAction.WriteObject write = (ClaimAction.WriteObject) action;
        int writeOutcome = random.nextInt(10);
        if (writeOutcome == 0) {
            calls.add(new Call(-1, null, action));
            return new ClaimEvent.WriteFailed(write.partition(), FailureCode.PLATFORM_ANSWER_LOST);
        }
        var answer =
                platform.write(ClaimPartitions.object(write.partition()), write.expectedVersion(), write.content());
        if (writeOutcome == 1) {
            return new ClaimEvent.WriteFailed(write.partition(), FailureCode.PLATFORM_ANSWER_LOST);
        }
        return answer.handle((version, failure) -> failure == null
                        ? (ClaimEvent) new ClaimEvent.ObjectWritten(write.partition(), version)
                        : new ClaimEvent.WriteFailed(write.partition(), ConditionalWriter.codeOf(failure)))
                .join();
    }

    private void deliver() {
        if (messages.isEmpty()) {
            return;
        }
        Message message = messages.get(random.nextInt(messages.size()));
        if (paused.contains(message.holder())) {
            return;
        }
        messages.remove(message);
        boolean restarted = message.expectedCore()
                .filter(core -> core != cores.get(message.holder()))
                .isPresent();
        if (!restarted) {
            handle(message.holder(), message.event());
        }
    }

    private void handle(int holder, ClaimEvent event) {
        ClaimsCore core = cores.get(holder);
        for (ClaimAction action : core.handle(event)) {
            if (action instanceof ClaimAction.AnswerClaim answer) {
                handleAnswer(answer);
            } else {
                calls.add(new Call(holder, core, action));
            }
        }
    }

    private void handleAnswer(ClaimAction.AnswerClaim answer) {
        verdicts.merge(answer.verdict(), 1, Integer::sum);
        Request request = openRequests.remove(answer.request());
        if (request == null || answer.verdict() != ClaimVerdict.GRANTED) {
            return;
        }
        if (random.nextInt(10) == 0) {
            settle(answer.request(), request, false, Optional.empty());
            return;
        }
        runs.computeIfAbsent(request.key(), key -> new ArrayList<>()).add(answer.request());
        runningRequests.put(answer.request(), request);
    }

    private void endRun() {
        if (runningRequests.isEmpty()) {
            return;
        }
        RequestIdentifier ended =
                runningRequests.keySet().stream().sorted().findFirst().orElseThrow();
        Request request = runningRequests.remove(ended);
        if (random.nextInt(4) == 0) {
            return;
        }
        boolean known = random.nextBoolean();
        settle(
                ended,
                request,
                true,
                known ? Optional.of(new StoredResponse(200, List.of(), new byte[9])) : Optional.empty());
    }

    private void withdraw() {
        if (openRequests.isEmpty()) {
            return;
        }
        RequestIdentifier withdrawn =
                openRequests.keySet().stream().sorted().findFirst().orElseThrow();
        settle(withdrawn, openRequests.remove(withdrawn), false, Optional.empty());
    }

    private void settle(RequestIdentifier identifier, Request request, boolean ran, Optional<StoredResponse> answer) {
        int holder = random.nextInt(3) == 0 ? random.nextInt(HOLDERS) : request.holder();
        ClaimEvent event = new ClaimEvent.ClaimSettled(identifier, request.key(), ran, answer);
        messages.add(new Message(holder, Optional.empty(), event));
    }
}
