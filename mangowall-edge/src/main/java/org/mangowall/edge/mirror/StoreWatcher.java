package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.ObjectStoreClient.StoreOutcome;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

/**
 * Keeps one kind of object in the mirror up to date.
 *
 * <p>Lists the objects, then watches for changes; lists again after a failure or when the store no longer has the
 * history since the last known revision. Revisions of a store that was restored from a copy say nothing about those of
 * the era before, so each new era begins with a list.
 */
public final class StoreWatcher {

    /** How often a host that doesn't query the store checks whether it should. */
    private static final long STANDBY_CHECK_MILLIS = 250;

    private static final long INITIAL_RETRY_MILLIS = 60;
    private static final long MAX_RETRY_MILLIS = 1_000;

    private final ObjectKind kind;
    private final ObjectStoreClient storeClient;
    private final StoreMirror mirror;
    private final StoreAvailability storeAvailability;
    private final WatchSchedule schedule;
    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Consumer<String> availabilityLog;
    private final BooleanSupplier isStoreReader;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private long historyRetryMillis = INITIAL_RETRY_MILLIS;
    private boolean needsList = true;
    private boolean wasHistoryGone;
    private List<StoredObject> listedObjects = new ArrayList<>();
    private Optional<StorePosition> listedAsOf = Optional.empty();
    private StorePosition watchedFrom = StorePosition.START;

    /**
     * Creates a watcher that isn't started yet.
     *
     * @param storeAvailability shared by the watchers of one store
     * @param schedule shared by the watchers of one store
     * @param availabilityLog called with a message when calls to the store begin to fail or succeed again
     * @param isStoreReader whether this host queries the store; otherwise other hosts send it the changes
     */
    public StoreWatcher(
            ObjectKind kind,
            ObjectStoreClient storeClient,
            StoreMirror mirror,
            StoreAvailability storeAvailability,
            WatchSchedule schedule,
            EventLoop loop,
            LongSupplier nanos,
            Consumer<String> availabilityLog,
            BooleanSupplier isStoreReader) {
        this.kind = kind;
        this.storeClient = storeClient;
        this.mirror = mirror;
        this.storeAvailability = storeAvailability;
        this.schedule = schedule;
        this.loop = loop;
        this.nanos = nanos;
        this.availabilityLog = availabilityLog;
        this.isStoreReader = isStoreReader;
    }

    /** Starts to list and watch, until the event loop is shut down. */
    public void start() {
        requestNext();
    }

    private void requestNext() {
        // A host whose last call failed retries, with back-off, until the store responds to it again.
        if (!isStoreReader.getAsBoolean() && !storeAvailability.hasLastCallFailed()) {
            loop.schedule(this::requestNext, STANDBY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (needsList) {
            listedObjects = new ArrayList<>();
            listedAsOf = Optional.empty();
            storeClient.list(kind, "", false, this::handleOutcome);
        } else {
            watchedFrom = mirror.completeTo(kind);
            storeClient.watch(kind, watchedFrom, schedule.begin(kind, nanos.getAsLong()), this::handleOutcome);
        }
    }

    private void handleOutcome(StoreOutcome outcome) {
        schedule.end(kind);
        switch (outcome) {
            case StoreOutcome.Page page -> handlePage(page);
            case StoreOutcome.Changes changes -> handleChanges(changes);
            case StoreOutcome.HistoryGone gone -> handleHistoryGone();
            case StoreOutcome.Written written -> recordFailure("unexpected response to a read: the result of a write");
            case StoreOutcome.Rejected rejected -> recordFailure("status " + rejected.status());
            case StoreOutcome.Lost lost -> recordFailure(lost.reason());
        }
    }

    private void handleChanges(StoreOutcome.Changes changes) {
        recordResponse();
        wasHistoryGone = false;
        historyRetryMillis = INITIAL_RETRY_MILLIS;
        if (changes.asOf().era() == watchedFrom.era()) {
            mirror.applyChanges(kind, changes.objects(), changes.asOf());
        } else {
            needsList = true;
        }
        requestNext();
    }

    private void handleHistoryGone() {
        recordResponse();
        needsList = true;
        if (!wasHistoryGone) {
            wasHistoryGone = true;
            requestNext();
            return;
        }
        // The store lacks the history since its own list; without a pause, lists and watches would follow at once.
        loop.schedule(this::requestNext, historyRetryMillis, TimeUnit.MILLISECONDS);
        historyRetryMillis = Math.min(MAX_RETRY_MILLIS, historyRetryMillis * 2);
    }

    private void handlePage(StoreOutcome.Page page) {
        recordResponse();
        if (listedAsOf.isPresent() && listedAsOf.get().era() != page.asOf().era()) {
            requestNext();
            return;
        }
        listedObjects.addAll(page.objects());
        if (listedAsOf.isEmpty() || listedAsOf.get().isAfter(page.asOf())) {
            listedAsOf = Optional.of(page.asOf());
        }
        if (!page.nextAfter().isEmpty()) {
            storeClient.list(kind, page.nextAfter(), false, this::handleOutcome);
            return;
        }
        needsList = false;
        mirror.applyList(kind, listedObjects, listedAsOf.get());
        requestNext();
    }

    private void recordResponse() {
        retryMillis = INITIAL_RETRY_MILLIS;
        if (storeAvailability.recordResponse(nanos.getAsLong())) {
            availabilityLog.accept("calls to the store succeed again");
        }
    }

    private void recordFailure(String reason) {
        if (storeAvailability.recordFailure()) {
            availabilityLog.accept("calls to the store fail: " + reason);
        }
        needsList = true;
        loop.schedule(this::requestNext, retryMillis, TimeUnit.MILLISECONDS);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    }
}
