package org.mangowall.platform.retry;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;

/**
 * Writes an object, and reads it back to find out the effect of a write whose response was lost.
 *
 * <p>A write whose response was lost may still arrive after the object was read back with its old version. It is
 * therefore repeated with the same expected version, so that at most one of the two takes effect. If the object is then
 * more than one version ahead with different content, the write may have taken effect in between, and the result
 * remains unknown.
 */
public final class ConditionalWriter {

    private final PlatformClient platform;
    private final Delay delay;
    private final int maximumCalls;

    /** Waits without blocking a thread. */
    @FunctionalInterface
    public interface Delay {
        /** Returns a future that completes after the given time. */
        CompletableFuture<Void> after(Duration wait);
    }

    /** Creates a writer that gives up after the given number of calls, counting reads and writes. */
    public ConditionalWriter(PlatformClient platform, Delay delay, int maximumCalls) {
        this.platform = platform;
        this.delay = delay;
        this.maximumCalls = maximumCalls;
    }

    /**
     * Writes an object if its current version is the expected one.
     *
     * @return the version with the written content; fails with {@code PLATFORM_CONFLICT} if another write came first,
     *     and with {@code PLATFORM_ANSWER_LOST} if it can't be determined whether the write took effect
     */
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content, Backoff backoff) {
        return new Attempt(object, expectedVersion, content, backoff).write();
    }

    private final class Attempt {

        private final ObjectName object;
        private final long expectedVersion;
        private final byte[] content;
        private final Backoff backoff;
        private boolean responseLost;
        private int calls;

        Attempt(ObjectName object, long expectedVersion, byte[] content, Backoff backoff) {
            this.object = object;
            this.expectedVersion = expectedVersion;
            this.content = content;
            this.backoff = backoff;
        }

        CompletableFuture<Long> write() {
            calls++;
            return platform.write(object, expectedVersion, content)
                    .handle((version, failure) ->
                            failure == null ? CompletableFuture.completedFuture(version) : afterWrite(failure))
                    .thenCompose(next -> next);
        }

        private CompletableFuture<Long> afterWrite(Throwable failure) {
            FailureCode code = codeOf(failure);
            if (code == FailureCode.PLATFORM_ANSWER_LOST) {
                responseLost = true;
            }
            if (!responseLost) {
                return failed(code, "the platform refused the write of " + object, failure);
            }
            return retryLater(this::readBack);
        }

        private CompletableFuture<Long> readBack() {
            calls++;
            return platform.read(object)
                    .handle((found, failure) -> failure == null ? afterRead(found) : retryLater(this::readBack))
                    .thenCompose(next -> next);
        }

        private CompletableFuture<Long> afterRead(Optional<VersionedObject> found) {
            long version = found.map(VersionedObject::version).orElse(PlatformClient.NO_VERSION);
            if (version == expectedVersion) {
                return retryLater(this::write);
            }
            if (found.isPresent() && Arrays.equals(found.get().content(), content)) {
                return CompletableFuture.completedFuture(version);
            }
            if (version == expectedVersion + 1) {
                return failed(FailureCode.PLATFORM_CONFLICT, "another write of " + object + " came first", null);
            }
            return failAsUnknown();
        }

        private CompletableFuture<Long> retryLater(Supplier<CompletableFuture<Long>> step) {
            if (calls >= maximumCalls) {
                return failAsUnknown();
            }
            return delay.after(backoff.next()).thenCompose(nothing -> step.get());
        }

        private CompletableFuture<Long> failAsUnknown() {
            return failed(FailureCode.PLATFORM_ANSWER_LOST, "it is not known whether " + object + " was written", null);
        }
    }

    private static CompletableFuture<Long> failed(FailureCode code, String message, Throwable cause) {
        return CompletableFuture.failedFuture(new MangowallException(code, message, cause));
    }

    /** The failure code of a failed call; looks through {@link CompletionException}s. */
    public static FailureCode codeOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof MangowallException known ? known.failureCode() : FailureCode.INTERNAL;
    }
}
