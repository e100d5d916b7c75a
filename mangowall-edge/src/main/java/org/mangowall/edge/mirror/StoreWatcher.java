package org.mangowall.edge.mirror;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.ObjectStoreClient.StoreOutcome;
import org.mangowall.edge.wire.StoredObject;

/** Follows one kind of object: lists it, then watches for changes; lists again when the history is gone. */
public final class StoreWatcher {

    /** How long a watch waits at least: a store or connection that is silent must show within seconds. */
    private static final long LEAST_WAIT_MILLIS = 2_800;
    /** Spreads the watches of hosts that started together. */
    private static final long WAIT_SPREAD_MILLIS = 800;

    /** How often a host that doesn't follow looks whether it should. */
    private static final long OFF_DUTY_MILLIS = 250;

    private static final long FIRST_PAUSE_MILLIS = 60;
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    private final ObjectKind kind;
    private final ObjectStoreClient calls;
    private final StoreMirror mirror;
    private final StoreAvailability contact;
    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Consumer<String> contactLog;
    private final BooleanSupplier isOnDuty;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private boolean needsList = true;
    private List<StoredObject> listed = new ArrayList<>();
    private long listedAsOf;

    /**
     * Prepares to follow.
     *
     * @param contact shared by the followers of one store
     * @param contactLog hears when the store is lost or regained
     * @param isOnDuty whether this host asks the store; otherwise it hears of changes from hosts that do
     */
    public StoreWatcher(
            ObjectKind kind,
            ObjectStoreClient calls,
            StoreMirror mirror,
            StoreAvailability contact,
            EventLoop loop,
            LongSupplier nanos,
            Consumer<String> contactLog,
            BooleanSupplier isOnDuty) {
        this.kind = kind;
        this.calls = calls;
        this.mirror = mirror;
        this.contact = contact;
        this.loop = loop;
        this.nanos = nanos;
        this.contactLog = contactLog;
        this.isOnDuty = isOnDuty;
    }

    /** Begins to follow; goes on until the thread ends. */
    public void start() {
        next();
    }

    private void next() {
        // A host that was turned away goes on asking, slowly, until it knows that the store answers it again.
        if (!isOnDuty.getAsBoolean() && !contact.isLost()) {
            loop.schedule(this::next, OFF_DUTY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (needsList) {
            listed = new ArrayList<>();
            listedAsOf = Long.MAX_VALUE;
            calls.list(kind, "", false, this::received);
        } else {
            calls.watch(kind, mirror.completeTo(kind), watchWait(), this::received);
        }
    }

    private static Duration watchWait() {
        return Duration.ofMillis(LEAST_WAIT_MILLIS + ThreadLocalRandom.current().nextLong(WAIT_SPREAD_MILLIS));
    }

    private void received(StoreOutcome outcome) {
        switch (outcome) {
            case StoreOutcome.Page page -> pageReceived(page);
            case StoreOutcome.Changes changes -> {
                answered();
                mirror.change(kind, changes.objects(), changes.asOf());
                next();
            }
            case StoreOutcome.HistoryGone gone -> {
                answered();
                needsList = true;
                next();
            }
            case StoreOutcome.Written written -> failed("the answer is that of a write");
            case StoreOutcome.Refused refused -> failed("status " + refused.status());
            case StoreOutcome.Lost lost -> failed(lost.reason());
        }
    }

    private void pageReceived(StoreOutcome.Page page) {
        answered();
        listed.addAll(page.objects());
        listedAsOf = Math.min(listedAsOf, page.asOf());
        if (!page.nextAfter().isEmpty()) {
            calls.list(kind, page.nextAfter(), false, this::received);
            return;
        }
        needsList = false;
        mirror.replace(kind, listed, listedAsOf);
        next();
    }

    private void answered() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        if (contact.answered(nanos.getAsLong())) {
            contactLog.accept("the store answers again");
        }
    }

    private void failed(String reason) {
        if (contact.failed()) {
            contactLog.accept("the store is lost: " + reason);
        }
        needsList = true;
        loop.schedule(this::next, pauseMillis, TimeUnit.MILLISECONDS);
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    }
}
