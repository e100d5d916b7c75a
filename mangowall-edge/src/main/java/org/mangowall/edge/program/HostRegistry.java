package org.mangowall.edge.program;

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
 * Finds the other hosts through the platform's store.
 *
 * <p>Writes this host's address once for each start. Reads the list while this host knows no other, or as one of a few
 * that do so for all: hosts that know each other tell the rest by themselves.
 */
final class HostRegistry {

    private static final long FIRST_READ_MILLIS = 300;
    private static final long READ_MILLIS = 6_000;
    private static final long RETRY_MILLIS = 700;

    private final HostRecord self;
    private final ObjectStoreClient calls;
    private final StoredObjectCodec dialect;
    private final EventLoop loop;
    private final Consumer<HostRecord> listener;
    private final boolean isFirstStart;
    private final BooleanSupplier needsList;

    /**
     * Prepares to find hosts.
     *
     * @param isFirstStart whether the whole fleet starts for the first time
     * @param listener hears of each host of the list
     * @param needsList whether the list should be read now
     */
    HostRegistry(
            HostRecord self,
            ObjectStoreClient calls,
            StoredObjectCodec dialect,
            EventLoop loop,
            boolean isFirstStart,
            Consumer<HostRecord> listener,
            BooleanSupplier needsList) {
        this.isFirstStart = isFirstStart;
        this.needsList = needsList;
        this.self = self;
        this.calls = calls;
        this.dialect = dialect;
        this.loop = loop;
        this.listener = listener;
    }

    void start() {
        write();
        loop.schedule(this::readIfNeeded, FIRST_READ_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void readIfNeeded() {
        if (needsList.getAsBoolean()) {
            read("");
        } else {
            loop.schedule(this::readIfNeeded, FIRST_READ_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void write() {
        calls.put(ObjectKind.HOST, self.name(), dialect.hostContent(self), isFirstStart, outcome -> {
            if (!(outcome instanceof StoreOutcome.Written)) {
                loop.schedule(this::write, spread(RETRY_MILLIS), TimeUnit.MILLISECONDS);
            }
        });
    }

    private void read(String afterName) {
        calls.list(ObjectKind.HOST, afterName, true, outcome -> {
            if (!(outcome instanceof StoreOutcome.Page page)) {
                loop.schedule(this::readIfNeeded, spread(RETRY_MILLIS), TimeUnit.MILLISECONDS);
                return;
            }
            for (StoredObject object : page.objects()) {
                dialect.host(object).ifPresent(listener);
            }
            if (page.nextAfter().isEmpty()) {
                loop.schedule(this::readIfNeeded, spread(READ_MILLIS), TimeUnit.MILLISECONDS);
            } else {
                read(page.nextAfter());
            }
        });
    }

    /** Keeps hosts that started together from calling together. */
    private static long spread(long millis) {
        return millis + ThreadLocalRandom.current().nextLong(millis);
    }
}
