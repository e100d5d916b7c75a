package org.mangowall.edge.program;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.ObjectStoreClient;
import org.mangowall.edge.wire.ObjectStoreClient.StoreOutcome;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.edge.wire.StoredObjectCodec;

/**
 * Registers this host in the platform's store and discovers the other hosts there.
 *
 * <p>Writes this host's address once after each start, and again after a restore of the store, which may have lost it.
 * Reads the list of hosts while this host knows no other, or if it
 * is one of the few that read the store for the fleet; hosts that are connected learn about others from each other.
 */
final class HostRegistry {

    private static final long READ_CHECK_MILLIS = 300;
    private static final long MIN_READ_PERIOD_MILLIS = 6_000;
    private static final long MIN_RETRY_MILLIS = 700;
    /** All hosts learn of a restore at the same time; they write their addresses after different delays. */
    private static final long MIN_REWRITE_MILLIS = 1_000;

    private final HostRecord self;
    private final ObjectStoreClient storeClient;
    private final StoredObjectCodec codec;
    private final EventLoop loop;
    private final Consumer<HostRecord> hostListener;
    private final boolean isFirstStart;
    private final BooleanSupplier needsList;
    private OptionalLong writtenEra = OptionalLong.empty();
    private long latestEra;
    private boolean isWriting;

    /**
     * Creates the registry without calling the store.
     *
     * @param isFirstStart whether the whole fleet starts for the first time
     * @param hostListener called with each host of the list
     * @param needsList whether the list should be read now
     */
    HostRegistry(
            HostRecord self,
            ObjectStoreClient storeClient,
            StoredObjectCodec codec,
            EventLoop loop,
            boolean isFirstStart,
            Consumer<HostRecord> hostListener,
            BooleanSupplier needsList) {
        this.isFirstStart = isFirstStart;
        this.needsList = needsList;
        this.self = self;
        this.storeClient = storeClient;
        this.codec = codec;
        this.loop = loop;
        this.hostListener = hostListener;
    }

    void start() {
        write();
        loop.schedule(this::readIfNeeded, READ_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void readIfNeeded() {
        if (needsList.getAsBoolean()) {
            read("");
        } else {
            loop.schedule(this::readIfNeeded, READ_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles the beginning of an era of the store: what was written in an earlier one may be lost. */
    void eraBegan(long era) {
        latestEra = era;
        if (!isWriting && writtenEra.isPresent() && writtenEra.getAsLong() < era) {
            isWriting = true;
            loop.schedule(this::write, withJitter(MIN_REWRITE_MILLIS), TimeUnit.MILLISECONDS);
        }
    }

    private void write() {
        isWriting = true;
        boolean isProbablyNew = isFirstStart && writtenEra.isEmpty();
        storeClient.put(ObjectKind.HOST, self.name(), codec.hostContent(self), isProbablyNew, outcome -> {
            if (!(outcome instanceof StoreOutcome.Written written)) {
                loop.schedule(this::write, withJitter(MIN_RETRY_MILLIS), TimeUnit.MILLISECONDS);
                return;
            }
            isWriting = false;
            writtenEra = OptionalLong.of(written.era());
            eraBegan(latestEra);
        });
    }

    private void read(String afterName) {
        storeClient.list(ObjectKind.HOST, afterName, true, outcome -> {
            if (!(outcome instanceof StoreOutcome.Page page)) {
                loop.schedule(this::readIfNeeded, withJitter(MIN_RETRY_MILLIS), TimeUnit.MILLISECONDS);
                return;
            }
            for (StoredObject object : page.objects()) {
                codec.host(object).ifPresent(hostListener);
            }
            if (page.nextAfter().isEmpty()) {
                loop.schedule(this::readIfNeeded, withJitter(MIN_READ_PERIOD_MILLIS), TimeUnit.MILLISECONDS);
            } else {
                read(page.nextAfter());
            }
        });
    }

    /** Adds a random time, so that hosts that started together don't call the store at the same time. */
    private static long withJitter(long millis) {
        return millis + ThreadLocalRandom.current().nextLong(millis);
    }
}
