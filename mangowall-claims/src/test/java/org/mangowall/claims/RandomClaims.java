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
import org.mangowall.kernel.time.PausedClock;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredAnswer;

/**
 * Several claims cores on one platform, driven by a seeded random order of everything that may happen: calls that take
 * effect late, answers that are lost, outages, paused and restarted holders, entries that withdraw or crash.
 */
final class RandomClaims {

    private static final int HOLDERS = 3;
    private static final int KEYS = 6;
    private static final int STEPS = 3000;
    private static final RouterName ENTRY = new RouterName("entry-1");

    final Map<String, List<RequestIdentifier>> runs = new HashMap<>();
    final Map<ClaimVerdict, Integer> verdicts = new HashMap<>();

    private final Random random;
    private final PausedClock clock = new PausedClock(Instant.ofEpochSecond(1_000_000));
    private final InMemoryPlatform platform = new InMemoryPlatform(clock);
    private final List<ClaimsCore> cores = new ArrayList<>();
    private final Set<Integer> paused = new HashSet<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private final Map<RequestIdentifier, Request> open = new HashMap<>();
    private final Map<RequestIdentifier, Request> running = new HashMap<>();
    private long sequence;

    /** A call to the platform; it takes effect at a random later moment, even if its core gave up on it. */
    private record Call(int holder, ClaimsCore core, ClaimAction action) {}

    /** An event on its way to a core, which may meanwhile have restarted. */
    private record Message(int holder, Optional<ClaimsCore> only, ClaimEvent event) {}

    private record Request(String key, String digest, int holder) {}

    RandomClaims(long seed) {
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
            ask();
        } else if (choice < 45) {
            makeCall();
        } else if (choice < 75) {
            deliver();
        } else if (choice < 85) {
            endRun();
        } else if (choice < 90) {
            withdraw();
        } else {
            disturb(choice);
        }
        for (int holder = 0; holder < HOLDERS; holder++) {
            if (!paused.contains(holder)) {
                handle(holder, new ClaimEvent.ClockTicked());
            }
        }
    }

    private void disturb(int choice) {
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

    private void ask() {
        sequence++;
        String key = "key-" + random.nextInt(KEYS);
        RequestIdentifier request = new RequestIdentifier(ENTRY, 1, sequence);
        Request asked = new Request(key, "content-of-" + key, random.nextInt(HOLDERS));
        open.put(request, asked);
        messages.add(new Message(
                asked.holder(), Optional.empty(), new ClaimEvent.ClaimRequested(request, key, asked.digest())));
    }

    private void makeCall() {
        if (calls.isEmpty()) {
            return;
        }
        Call call = calls.remove(random.nextInt(calls.size()));
        ClaimEvent result = effect(call.action());
        if (call.holder() >= 0) {
            messages.add(new Message(call.holder(), Optional.of(call.core()), result));
        }
    }

    private ClaimEvent effect(ClaimAction action) {
        if (action instanceof ClaimAction.ReadObject read) {
            var answer = platform.read(ClaimPartitions.object(read.partition()));
            return answer.isCompletedExceptionally()
                    ? new ClaimEvent.ReadFailed(read.partition())
                    : new ClaimEvent.ObjectRead(read.partition(), answer.join());
        }
        ClaimAction.WriteObject write = (ClaimAction.WriteObject) action;
        int fate = random.nextInt(10);
        if (fate == 0) {
            calls.add(new Call(-1, null, action));
            return new ClaimEvent.WriteFailed(write.partition(), FailureCode.PLATFORM_ANSWER_LOST);
        }
        var answer =
                platform.write(ClaimPartitions.object(write.partition()), write.expectedVersion(), write.content());
        if (fate == 1) {
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
        boolean restarted = message.only()
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
                takeAnswer(answer);
            } else {
                calls.add(new Call(holder, core, action));
            }
        }
    }

    private void takeAnswer(ClaimAction.AnswerClaim answer) {
        verdicts.merge(answer.verdict(), 1, Integer::sum);
        Request request = open.remove(answer.request());
        if (request == null || answer.verdict() != ClaimVerdict.GRANTED) {
            return;
        }
        if (random.nextInt(10) == 0) {
            settle(answer.request(), request, false, Optional.empty());
            return;
        }
        runs.computeIfAbsent(request.key(), key -> new ArrayList<>()).add(answer.request());
        running.put(answer.request(), request);
    }

    private void endRun() {
        if (running.isEmpty()) {
            return;
        }
        RequestIdentifier ended = running.keySet().stream().sorted().findFirst().orElseThrow();
        Request request = running.remove(ended);
        if (random.nextInt(4) == 0) {
            return;
        }
        boolean known = random.nextBoolean();
        settle(
                ended,
                request,
                true,
                known ? Optional.of(new StoredAnswer(200, List.of(), new byte[9])) : Optional.empty());
    }

    private void withdraw() {
        if (open.isEmpty()) {
            return;
        }
        RequestIdentifier given = open.keySet().stream().sorted().findFirst().orElseThrow();
        settle(given, open.remove(given), false, Optional.empty());
    }

    private void settle(RequestIdentifier identifier, Request request, boolean ran, Optional<StoredAnswer> answer) {
        int holder = random.nextInt(3) == 0 ? random.nextInt(HOLDERS) : request.holder();
        ClaimEvent event = new ClaimEvent.ClaimSettled(identifier, request.key(), ran, answer);
        messages.add(new Message(holder, Optional.empty(), event));
    }
}
