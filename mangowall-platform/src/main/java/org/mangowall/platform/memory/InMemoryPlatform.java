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
 * The platform's objects and host list within the process, with switches for what may fail.
 *
 * <p>Calls end at once on the caller's thread; watches end with a write or in {@link #expireWatches()}. It is a client
 * that any number of users may share.
 */
public final class InMemoryPlatform implements PlatformClient {

    private static final int MAXIMUM_CONTENT_BYTES = 1_048_576;

    private final Clock clock;
    private final Map<ObjectName, VersionedObject> objects = new LinkedHashMap<>();
    private final Map<String, HostEntry> hosts = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean down;
    private int lostAnswers;
    private long calls;
    private long writes;

    private record Watch(
            ObjectName object, long afterVersion, Instant end, CompletableFuture<Optional<VersionedObject>> answer) {}

    /** Starts empty. */
    public InMemoryPlatform(Clock clock) {
        this.clock = clock;
    }

    /** Takes the platform down or brings it back; going down ends all watches. */
    public synchronized void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Watch> ended = List.copyOf(watches);
            watches.clear();
            ended.forEach(watch -> watch.answer().completeExceptionally(unavailable()));
        }
    }

    /** Lets the next writes take effect and loses their answers. */
    public synchronized void loseAnswers(int count) {
        lostAnswers = count;
    }

    /** All calls so far, refused ones included. */
    public synchronized long calls() {
        return calls;
    }

    /** All conditional writes so far that took effect. */
    public synchronized long writes() {
        return writes;
    }

    /** Ends the watches whose wait is over. */
    public synchronized void expireWatches() {
        Instant now = clock.instant();
        List<Watch> ended =
                watches.stream().filter(watch -> !watch.end().isAfter(now)).toList();
        watches.removeAll(ended);
        ended.forEach(watch -> watch.answer().complete(Optional.empty()));
    }

    @Override
    public synchronized CompletableFuture<Optional<VersionedObject>> read(ObjectName object) {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(object)));
    }

    @Override
    public synchronized CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        calls++;
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
        writes++;
        wake(object, written);
        if (lostAnswers > 0) {
            lostAnswers--;
            return failed(FailureCode.PLATFORM_ANSWER_LOST, "the answer was lost");
        }
        return CompletableFuture.completedFuture(written.version());
    }

    @Override
    public synchronized CompletableFuture<Optional<VersionedObject>> watch(
            ObjectName object, long afterVersion, Duration wait) {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        if (versionOf(object) > afterVersion) {
            return CompletableFuture.completedFuture(Optional.of(objects.get(object)));
        }
        Watch watch = new Watch(object, afterVersion, clock.instant().plus(wait), new CompletableFuture<>());
        watches.add(watch);
        return watch.answer();
    }

    @Override
    public synchronized CompletableFuture<List<HostEntry>> hosts() {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(unavailable());
        }
        return CompletableFuture.completedFuture(List.copyOf(hosts.values()));
    }

    @Override
    public synchronized CompletableFuture<Void> announce(HostEntry entry) {
        calls++;
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

    private void wake(ObjectName object, VersionedObject written) {
        Iterator<Watch> iterator = watches.iterator();
        List<Watch> woken = new ArrayList<>();
        while (iterator.hasNext()) {
            Watch watch = iterator.next();
            if (watch.object().equals(object)) {
                iterator.remove();
                woken.add(watch);
            }
        }
        woken.forEach(watch -> watch.answer().complete(Optional.of(written)));
    }

    private static <T> CompletableFuture<T> failed(FailureCode code, String message) {
        return CompletableFuture.failedFuture(new MangowallException(code, message));
    }

    private static MangowallException unavailable() {
        return new MangowallException(FailureCode.PLATFORM_UNAVAILABLE, "the platform is down");
    }
}
