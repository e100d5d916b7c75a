package org.mangowall.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimsCoreTest {

    private static final RouterName ENTRY = new RouterName("entry-1");
    private static final Duration TICK = Duration.ofMillis(20);

    private final ManualClock clock = new ManualClock(Instant.ofEpochSecond(1_000_000));
    private final InMemoryPlatform platform = new InMemoryPlatform(clock);
    private final Map<RequestIdentifier, ClaimAction.AnswerClaim> answers = new HashMap<>();
    private final FleetView view = FleetView.of(
            List.of(new FleetMember(ENTRY, 1, new ZoneName("zone-1"), "10.0.0.1", 8080, 9090, MemberState.ALIVE)));
    private ClaimsCore core;
    private long sequence;

    @BeforeEach
    void start() {
        core = newCore(ClaimSettings.defaults());
    }

    private ClaimsCore newCore(ClaimSettings settings) {
        ClaimsCore created = new ClaimsCore(settings, clock, 7);
        created.handle(new ClaimEvent.FleetChanged(view));
        return created;
    }

    private void handle(ClaimEvent event) {
        for (ClaimAction action : core.handle(event)) {
            switch (action) {
                case ClaimAction.AnswerClaim answer -> answers.put(answer.request(), answer);
                case ClaimAction.ReadObject read -> handle(resultOf(read));
                case ClaimAction.WriteObject write -> handle(resultOf(write));
            }
        }
    }

    private ClaimEvent resultOf(ClaimAction.ReadObject read) {
        return platform.read(ClaimPartitions.object(read.partition()))
                .handle((object, failure) -> failure == null
                        ? (ClaimEvent) new ClaimEvent.ObjectRead(read.partition(), object)
                        : new ClaimEvent.ReadFailed(read.partition()))
                .join();
    }

    private ClaimEvent resultOf(ClaimAction.WriteObject write) {
        return platform.write(ClaimPartitions.object(write.partition()), write.expectedVersion(), write.content())
                .handle((version, failure) -> failure == null
                        ? (ClaimEvent) new ClaimEvent.ObjectWritten(write.partition(), version)
                        : new ClaimEvent.WriteFailed(write.partition(), ConditionalWriter.codeOf(failure)))
                .join();
    }

    private void run(Duration time) {
        for (long tick = 0; tick < time.dividedBy(TICK); tick++) {
            clock.advance(TICK);
            handle(new ClaimEvent.ClockTicked());
        }
    }

    private RequestIdentifier claim(String key) {
        return claim(key, "content");
    }

    private RequestIdentifier claim(String key, String content) {
        RequestIdentifier request = new RequestIdentifier(ENTRY, 1, ++sequence);
        handle(new ClaimEvent.ClaimRequested(request, key, content));
        return request;
    }

    private void settle(RequestIdentifier request, String key, boolean ran, Optional<StoredResponse> answer) {
        handle(new ClaimEvent.ClaimSettled(request, key, ran, answer));
    }

    private ClaimVerdict verdict(RequestIdentifier request) {
        run(Duration.ofSeconds(3));
        return answers.get(request).verdict();
    }

    @Test
    void aKeyIsGrantedOnceAndItsAnswerIsRepeated() {
        RequestIdentifier first = claim("key");
        assertEquals(ClaimVerdict.GRANTED, verdict(first));
        assertEquals(ClaimVerdict.IN_PROGRESS, verdict(claim("key")));
        settle(first, "key", true, Optional.of(new StoredResponse(201, List.of(), new byte[3])));
        RequestIdentifier later = claim("key");
        assertEquals(ClaimVerdict.COMPLETED, verdict(later));
        assertEquals(201, answers.get(later).answer().orElseThrow().status());
        assertEquals(ClaimVerdict.MISMATCH, verdict(claim("key", "other content")));
    }

    @Test
    void aRequestThatHasNotRunReleasesItsKey() {
        RequestIdentifier first = claim("key");
        assertEquals(ClaimVerdict.GRANTED, verdict(first));
        settle(first, "key", false, Optional.empty());
        run(Duration.ofSeconds(1));
        assertEquals(ClaimVerdict.GRANTED, verdict(claim("key")));
    }

    @Test
    void aNewHolderReadsTheClaimButHasNoCachedAnswer() {
        RequestIdentifier first = claim("key");
        settle(first, "key", true, Optional.of(new StoredResponse(201, List.of(), new byte[3])));
        run(Duration.ofSeconds(1));
        core = newCore(ClaimSettings.defaults());
        RequestIdentifier later = claim("key");
        assertEquals(ClaimVerdict.COMPLETED, verdict(later));
        assertTrue(answers.get(later).answer().isEmpty());
    }

    @Test
    void aClaimOfACrashedEntryRouterHasAnUnknownOutcome() {
        claim("key");
        run(Duration.ofSeconds(1));
        FleetMember restarted =
                new FleetMember(ENTRY, 2, new ZoneName("zone-1"), "10.0.0.1", 8080, 9090, MemberState.ALIVE);
        handle(new ClaimEvent.FleetChanged(FleetView.of(List.of(restarted))));
        assertEquals(ClaimVerdict.OUTCOME_UNKNOWN, verdict(claim("key")));
    }

    @Test
    void aLostWriteAnswerIsResolvedByReadingTheObject() {
        platform.loseResponses(1);
        assertEquals(ClaimVerdict.GRANTED, verdict(claim("key")));
        assertEquals(1, platform.writes());
    }

    @Test
    void aRaceWithAnotherHolderIsDecidedByThePlatform() {
        RequestIdentifier earlier = claim("key-of-first");
        assertEquals(ClaimVerdict.GRANTED, verdict(earlier));
        ClaimsCore first = core;
        core = newCore(ClaimSettings.defaults());
        assertEquals(ClaimVerdict.GRANTED, verdict(claim("key")));
        core = first;
        assertEquals(ClaimVerdict.IN_PROGRESS, verdict(claim("key")));
    }

    @Test
    void withoutThePlatformOnlyKnownClaimsAreAnswered() {
        RequestIdentifier first = claim("key");
        settle(first, "key", true, Optional.of(new StoredResponse(201, List.of(), new byte[3])));
        run(Duration.ofSeconds(1));
        platform.setDown(true);
        RequestIdentifier refused = claim("other key");
        assertEquals(ClaimVerdict.UNAVAILABLE, verdict(refused));
        assertEquals(ClaimVerdict.COMPLETED, verdict(claim("key")));
        platform.setDown(false);
        run(Duration.ofSeconds(6));
        assertEquals(ClaimVerdict.GRANTED, verdict(claim("other key")));
    }

    @Test
    void anHourOfOutageUnderLoadEndsWithoutABurstOfCalls() {
        platform.setDown(true);
        long before = platform.calls();
        for (int second = 0; second < 3600; second++) {
            for (int index = 0; index < 10; index++) {
                claim("outage-" + second + "-" + index);
            }
            run(Duration.ofSeconds(1));
            answers.values().forEach(answer -> assertEquals(ClaimVerdict.UNAVAILABLE, answer.verdict()));
            answers.clear();
        }
        double callsPerSecond = (platform.calls() - before) / 3600.0;
        platform.setDown(false);
        long mostCallsPerSecond = 0;
        for (int second = 0; second < 10; second++) {
            long start = platform.calls();
            for (int index = 0; index < 10; index++) {
                claim("after-" + second + "-" + index);
            }
            run(Duration.ofSeconds(1));
            mostCallsPerSecond = Math.max(mostCallsPerSecond, platform.calls() - start);
        }
        System.out.printf(
                "outage: %.1f calls per second, afterwards at most %d per second%n",
                callsPerSecond, mostCallsPerSecond);
        assertTrue(callsPerSecond <= 30, callsPerSecond + " calls a second");
        assertTrue(mostCallsPerSecond <= 64, mostCallsPerSecond + " calls in a second");
    }

    @Test
    void manyClaimsAreWrittenInBatches() {
        long before = platform.writes();
        int seconds = 10;
        for (int second = 0; second < seconds; second++) {
            for (int batch = 0; batch < 50; batch++) {
                for (int index = 0; index < 20; index++) {
                    claim("flood-" + second + "-" + batch + "-" + index);
                }
                run(TICK);
            }
        }
        run(Duration.ofSeconds(1));
        long writes = platform.writes() - before;
        long granted = answers.values().stream()
                .filter(answer -> answer.verdict() == ClaimVerdict.GRANTED)
                .count();
        System.out.printf("batching: %d claims in %d s granted by %d writes%n", granted, seconds, writes);
        assertEquals(10_000, granted);
        assertTrue(writes <= 64 * (6 + 3 * 12), writes + " writes");
    }

    @Test
    void anEncodedClaimTakesAtMost150Bytes() {
        String digest = "0123456789abcdef0123456789abcdef";
        RequestIdentifier request =
                new RequestIdentifier(new RouterName("router-qc-est-a-01"), 1_796_338_188_148L, 99999);
        ClaimRecord record = new ClaimRecord(digest, digest, request, ClaimState.CLAIMED, clock.millis());
        byte[] content = PartitionCodec.encode(List.of(record));
        System.out.printf("claim: %d bytes%n", content.length);
        assertTrue(content.length <= 150);
        assertEquals(Map.of(digest, record), PartitionCodec.decode(content));
    }

    @Test
    void aFullObjectRefusesNewKeysUntilClaimsExpire() {
        ClaimSettings small = new ClaimSettings(Duration.ofHours(1), Duration.ofSeconds(2), 100, 100, 1000, 400, 1000);
        core = newCore(small);
        int refused = 0;
        for (int index = 0; index < 640; index++) {
            if (verdict(claim("key-" + index)) == ClaimVerdict.UNAVAILABLE) {
                refused++;
            }
        }
        assertTrue(refused > 0 && refused < 640, refused + " refused");
        clock.advance(Duration.ofHours(2));
        assertEquals(ClaimVerdict.GRANTED, verdict(claim("key-0")));
    }
}
