package org.mangowall.platform.memory;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;

/**
 * A platform whose objects and host list are held in memory, with simulated failures.
 *
 * <p>Calls complete immediately on the caller's thread; watches complete with a write or in {@link #expireWatches()}.
 * Thread-safe, so that any number of users may share an instance.
 */
public final class InMemoryPlatform implements PlatformClient {

    private static final int MAXIMUM_CONTENT_BYTES = 1_048_576;

    private final Clock clock;
    private final Map<ObjectName, VersionedObject> objects = new LinkedHashMap<>();
    private final Map<String, HostEntry> hosts = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean down;
    private int responsesToLose;
    private long callCount;
    private long writeCount;

    private record Watch(
            ObjectName object,
            long afterVersion,
            Instant deadline,
            CompletableFuture<Optional<VersionedObject>> result) {}

    /** Creates an empty platform. */
    public InMemoryPlatform(Clock clock) {
        this.clock = clock;
    }

    /** Simulates an outage or ends it; an outage fails all watches. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Watch> ended = List.copyOf(watches);
            watches.clear();
            ended.forEach(watch -> watch.result().completeExceptionally(unavailable()));
        }
    }

    /** Makes the next writes take effect but fail with {@code PLATFORM_ANSWER_LOST}. */
    public synchronized void loseResponses(int count) {
        responsesToLose = count;
    }

    /** The number of calls so far, including refused ones. */
    public synchronized long calls() {
        return callCount;
    }

    /** The number of object writes so far that took effect. */
    public synchronized long writes() {
        return writeCount;
    }

    /** Completes the watches whose wait is over. */
    public synchronized void expireWatches() {
        Instant now = clock.instant();
        List<Watch> ended =
                watches.stream().filter(watch -> !watch.deadline().isAfter(now)).toList();
        watches.removeAll(ended);
        ended.forEach(watch -> watch.result().complete(Optional.empty()));
    }

    @Override
    public synchronized CompletableFuture<Optional<VersionedObject>> read(ObjectName object) {
        callCount++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(object)));
    }

    @Override
    public synchronized CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        callCount++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        if (content.length > MAXIMUM_CONTENT_BYTES) {
            return failed(FailureCode.PLATFORM_OBJECT_TOO_LARGE, object + " is too large");
        }
        long version = versionOf(object);
        if (version != expectedVersion) {
            return failed(FailureCode.PLATFORM_CONFLICT, object + " has version " + version);
        }
        VersionedObject written = new VersionedObject(version + 1, content.clone());
        objects.put(object, written);
        writeCount++;
        completeWatches(object, written);
        if (responsesToLose > 0) {
            responsesToLose--;
            return failed(FailureCode.PLATFORM_ANSWER_LOST, "the answer was lost");
        }
        return CompletableFuture.completedFuture(written.version());
    }

    @Override
    public synchronized CompletableFuture<Optional<VersionedObject>> watch(
            ObjectName object, long afterVersion, Duration wait) {
        callCount++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        if (versionOf(object) > afterVersion) {
            return CompletableFuture.completedFuture(Optional.of(objects.get(object)));
        }
        Watch watch = new Watch(object, afterVersion, clock.instant().plus(wait), new CompletableFuture<>());
        watches.add(watch);
        return watch.result();
    }

    @Override
    public synchronized CompletableFuture<List<HostEntry>> hosts() {
        callCount++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        return CompletableFuture.completedFuture(List.copyOf(hosts.values()));
    }

    @Override
    public synchronized CompletableFuture<Void> announce(HostEntry entry) {
        callCount++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        hosts.put(entry.name(), entry);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close() {
        setDown(true);
    }

    private long versionOf(ObjectName object) {
        VersionedObject present = objects.get(object);
        return present == null ? NO_VERSION : present.version();
    }

    private void completeWatches(ObjectName object, VersionedObject written) {
        Iterator<Watch> iterator = watches.iterator();
        List<Watch> completed = new ArrayList<>();
        while (iterator.hasNext()) {
            Watch watch = iterator.next();
            if (watch.object().equals(object)) {
                iterator.remove();
                completed.add(watch);
            }
        }
        completed.forEach(watch -> watch.result().complete(Optional.of(written)));
    }

    private static <T> CompletableFuture<T> failed(FailureCode code, String message) {
        return CompletableFuture.failedFuture(new MangowallException(code, message));
    }

    private static MangowallException unavailable() {
        return new MangowallException(FailureCode.PLATFORM_UNAVAILABLE, "the platform is down");
    }
}
