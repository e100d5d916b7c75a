package org.mangowall.platform.retry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.memory.InMemoryPlatform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ConditionalWriterTest {

    private static final ObjectName OBJECT = new ObjectName("configuration", "inventory");
    private static final int MAXIMUM_CALLS = 8;

    private final InMemoryPlatform platform = new InMemoryPlatform(new ManualClock(Instant.EPOCH));
    private Runnable duringDelay = () -> {};
    private final ConditionalWriter writer = new ConditionalWriter(platform, this::delayed, MAXIMUM_CALLS);

    private CompletableFuture<Void> delayed(Duration wait) {
        duringDelay.run();
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Long> write(long expectedVersion, String content) {
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), 1);
        return writer.write(OBJECT, expectedVersion, bytes(content), backoff);
    }

    private static byte[] bytes(String content) {
        return content.getBytes(StandardCharsets.UTF_8);
    }

    private static FailureCode codeOf(CompletableFuture<Long> write) {
        return ConditionalWriter.codeOf(assertThrows(CompletionException.class, write::join));
    }

    @Test
    void theSecondOfTwoWritesWithTheSameExpectedVersionIsAConflict() {
        assertEquals(1, write(0, "first").join());
        assertEquals(FailureCode.PLATFORM_CONFLICT, codeOf(write(0, "second")));
    }

    @Test
    void aWriteWithALostResponseIsConfirmedByReadingBack() {
        platform.loseResponses(1);
        assertEquals(1, write(0, "first").join());
        assertEquals(1, platform.writes());
    }

    @Test
    void aWriteThatDidNotTakeEffectIsRepeatedAfterALostResponse() {
        FirstWriteLosingPlatform losing = new FirstWriteLosingPlatform(platform, false);
        ConditionalWriter losingWriter = new ConditionalWriter(losing, this::delayed, MAXIMUM_CALLS);
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), 1);
        assertEquals(1, losingWriter.write(OBJECT, 0, bytes("first"), backoff).join());
        assertEquals(1, platform.writes());
    }

    @Test
    void aDelayedWriteAndItsRepetitionTakeEffectOnce() {
        FirstWriteLosingPlatform delaying = new FirstWriteLosingPlatform(platform, true);
        ConditionalWriter delayingWriter = new ConditionalWriter(delaying, this::delayed, MAXIMUM_CALLS);
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), 1);
        assertEquals(1, delayingWriter.write(OBJECT, 0, bytes("first"), backoff).join());
        assertEquals(1, platform.writes());
    }

    @Test
    void aLaterWriteOfAnotherClientLeavesTheOutcomeOfALostResponseUnknown() {
        platform.loseResponses(1);
        duringDelay = () -> {
            duringDelay = () -> {};
            platform.write(OBJECT, 1, bytes("other")).join();
        };
        assertEquals(FailureCode.PLATFORM_ANSWER_LOST, codeOf(write(0, "first")));
    }

    @Test
    void aWriteOfAnotherClientInPlaceOfTheLostOneIsAConflict() {
        FirstWriteLosingPlatform losing = new FirstWriteLosingPlatform(platform, false);
        ConditionalWriter losingWriter = new ConditionalWriter(losing, this::delayed, MAXIMUM_CALLS);
        duringDelay = () -> {
            duringDelay = () -> {};
            platform.write(OBJECT, 0, bytes("other")).join();
        };
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), 1);
        assertEquals(FailureCode.PLATFORM_CONFLICT, codeOf(losingWriter.write(OBJECT, 0, bytes("first"), backoff)));
    }

    @Test
    void anOutageMeansNotWrittenBeforeTheWriteAndUnknownAfterALostResponse() {
        platform.setDown(true);
        assertEquals(FailureCode.PLATFORM_UNAVAILABLE, codeOf(write(0, "first")));
        platform.setDown(false);
        platform.loseResponses(1);
        duringDelay = () -> platform.setDown(true);
        assertEquals(FailureCode.PLATFORM_ANSWER_LOST, codeOf(write(0, "first")));
    }
}
