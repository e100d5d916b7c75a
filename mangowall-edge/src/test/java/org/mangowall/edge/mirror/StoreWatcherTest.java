package org.mangowall.edge.mirror;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a watcher that follows a restored store by the revisions of the era before, or without a pause. */
class StoreWatcherTest {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> applied = new ArrayList<>();
    private final StoreMirror mirror = new StoreMirror(object -> applied.add(object.name()), (previous, current) -> {});
    private final RecordedCalls calls = new RecordedCalls();

    /** A store whose calls are answered by the test. */
    private static final class RecordedCalls implements ObjectStoreClient {

        private final List<String> made = new ArrayList<>();
        private Consumer<StoreOutcome> receiver;

        @Override
        public void list(ObjectKind kind, String afterName, boolean mayBeStale, Consumer<StoreOutcome> listReceiver) {
            made.add("list " + afterName);
            receiver = listReceiver;
        }

        @Override
        public void watch(ObjectKind kind, StorePosition after, Duration wait, Consumer<StoreOutcome> watchReceiver) {
            made.add("watch " + after.revision());
            receiver = watchReceiver;
        }

        @Override
        public void put(
                ObjectKind kind,
                String name,
                byte[] content,
                boolean isProbablyNew,
                Consumer<StoreOutcome> putReceiver) {
            throw new UnsupportedOperationException("a watcher doesn't write");
        }

        private void answer(StoreOutcome outcome) {
            receiver.accept(outcome);
        }
    }

    @BeforeEach
    void start() {
        channel.freezeTime();
        new StoreWatcher(
                        ObjectKind.RUNNER,
                        calls,
                        mirror,
                        new StoreAvailability(0),
                        new WatchSchedule(() -> 0),
                        channel.eventLoop(),
                        () -> 0,
                        message -> {},
                        () -> true)
                .start();
    }

    private void advance(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private static StoredObject object(String name, long era, long revision) {
        byte[] content = (name + era).getBytes(StandardCharsets.UTF_8);
        return new StoredObject(ObjectKind.RUNNER, name, new StorePosition(era, revision), content, false);
    }

    private static ObjectStoreClient.StoreOutcome page(String nextAfter, long era, long asOf, StoredObject... objects) {
        return new ObjectStoreClient.StoreOutcome.Page(List.of(objects), nextAfter, new StorePosition(era, asOf));
    }

    private static ObjectStoreClient.StoreOutcome changes(long era, long asOf, StoredObject... objects) {
        return new ObjectStoreClient.StoreOutcome.Changes(List.of(objects), new StorePosition(era, asOf));
    }

    @Test
    void aWatchAfterARestoreBeginsAtTheRestoredRevision() {
        calls.answer(page("", 1, 50, object("a", 1, 50)));
        calls.answer(new ObjectStoreClient.StoreOutcome.HistoryGone());
        calls.answer(page("", 2, 30, object("a", 2, 30)));
        assertEquals(List.of("list ", "watch 50", "list ", "watch 30"), calls.made);
    }

    /** The restored store has passed the watched revision again, so it doesn't miss the history. */
    @Test
    void changesOfALaterEraAreFollowedByAList() {
        calls.answer(page("", 1, 50, object("a", 1, 50)));
        calls.answer(changes(2, 60, object("b", 2, 60)));
        assertEquals(List.of("list ", "watch 50", "list "), calls.made);
        assertEquals(List.of("a"), applied);
        calls.answer(page("", 2, 60, object("a", 2, 40), object("b", 2, 60)));
        assertEquals(List.of("a", "a", "b"), applied);
    }

    @Test
    void aListThatSpansARestoreBeginsAnew() {
        calls.answer(page("a", 1, 50, object("a", 1, 50)));
        calls.answer(page("", 2, 30, object("b", 2, 30)));
        assertEquals(List.of("list ", "list a", "list "), calls.made);
        assertTrue(applied.isEmpty());
    }

    @Test
    void aStoreThatLacksTheHistorySinceItsOwnListIsAskedAtIntervals() {
        calls.answer(page("", 1, 50));
        calls.answer(new ObjectStoreClient.StoreOutcome.HistoryGone());
        calls.answer(page("", 1, 50));
        for (int round = 0; round < 10; round++) {
            int before = calls.made.size();
            calls.answer(new ObjectStoreClient.StoreOutcome.HistoryGone());
            assertEquals(before, calls.made.size(), "a call without a pause");
            advance(1_000);
            calls.answer(page("", 1, 50));
        }
        calls.answer(changes(1, 51, object("a", 1, 51)));
        assertEquals(List.of("a"), applied);
    }
}
