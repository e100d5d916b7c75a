package org.mangowall.platform.retry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;

/** A platform client that drops the first write, or delays it until just before the second, and loses its response. */
final class FirstWriteLosingPlatform implements PlatformClient {

    private final PlatformClient platform;
    private final boolean delaysFirstWrite;
    private Runnable delayedWrite = () -> {};
    private boolean firstWriteSeen;

    FirstWriteLosingPlatform(PlatformClient platform, boolean delaysFirstWrite) {
        this.platform = platform;
        this.delaysFirstWrite = delaysFirstWrite;
    }

    @Override
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        if (!firstWriteSeen) {
            firstWriteSeen = true;
            if (delaysFirstWrite) {
                delayedWrite =
                        () -> platform.write(object, expectedVersion, content).join();
            }
            return CompletableFuture.failedFuture(
                    new MangowallException(FailureCode.PLATFORM_ANSWER_LOST, "the answer was lost"));
        }
        delayedWrite.run();
        delayedWrite = () -> {};
        return platform.write(object, expectedVersion, content);
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> read(ObjectName object) {
        return platform.read(object);
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait) {
        return platform.watch(object, afterVersion, wait);
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        return platform.hosts();
    }

    @Override
    public CompletableFuture<Void> announce(HostEntry entry) {
        return platform.announce(entry);
    }

    @Override
    public void close() {
        platform.close();
    }
}
