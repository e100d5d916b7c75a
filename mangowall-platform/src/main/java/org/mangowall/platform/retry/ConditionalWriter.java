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
 * Writes an object and settles a lost answer by reading back.
 *
 * <p>A write whose answer was lost may still be on its way when the read-back shows the old version. So it is written
 * once more with the same expected version: of the two, at most one takes effect. When the object has moved on by more
 * than one version with another content, ours may have been there in between, and the answer stays lost.
 */
public final class ConditionalWriter {

    private final PlatformClient platform;
    private final Delay delay;
    private final int maximumTries;

    /** Waits for a while without holding a thread. */
    @FunctionalInterface
    public interface Delay {
        /** Completes after the given time. */
        CompletableFuture<Void> after(Duration wait);
    }

    /** Makes a writer that gives up after the given number of tries, reads and writes together. */
    public ConditionalWriter(PlatformClient platform, Delay delay, int maximumTries) {
        this.platform = platform;
        this.delay = delay;
        this.maximumTries = maximumTries;
    }

    /**
     * Writes an object if its version is the expected one.
     *
     * @return the version that holds the content; fails with {@code PLATFORM_CONFLICT} when another write came first,
     *     with {@code PLATFORM_ANSWER_LOST} when the effect can't be found out
     */
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content, Backoff backoff) {
        return new Attempt(object, expectedVersion, content, backoff).write();
    }

    private final class Attempt {

        private final ObjectName object;
        private final long expectedVersion;
        private final byte[] content;
        private final Backoff backoff;
        private boolean answerLost;
        private int tries;

        Attempt(ObjectName object, long expectedVersion, byte[] content, Backoff backoff) {
            this.object = object;
            this.expectedVersion = expectedVersion;
            this.content = content;
            this.backoff = backoff;
        }

        CompletableFuture<Long> write() {
            tries++;
            return platform.write(object, expectedVersion, content)
                    .handle((version, failure) ->
                            failure == null ? CompletableFuture.completedFuture(version) : afterWrite(failure))
                    .thenCompose(next -> next);
        }

        private CompletableFuture<Long> afterWrite(Throwable failure) {
            FailureCode code = codeOf(failure);
            if (code == FailureCode.PLATFORM_ANSWER_LOST) {
                answerLost = true;
            }
            if (!answerLost) {
                return failed(code, "the platform refused the write of " + object, failure);
            }
            return later(this::readBack);
        }

        private CompletableFuture<Long> readBack() {
            tries++;
            return platform.read(object)
                    .handle((found, failure) -> failure == null ? afterRead(found) : later(this::readBack))
                    .thenCompose(next -> next);
        }

        private CompletableFuture<Long> afterRead(Optional<VersionedObject> found) {
            long version = found.map(VersionedObject::version).orElse(PlatformClient.NO_VERSION);
            if (version == expectedVersion) {
                return later(this::write);
            }
            if (found.isPresent() && Arrays.equals(found.get().content(), content)) {
                return CompletableFuture.completedFuture(version);
            }
            if (version == expectedVersion + 1) {
                return failed(FailureCode.PLATFORM_CONFLICT, "another write of " + object + " came first", null);
            }
            return lost();
        }

        private CompletableFuture<Long> later(Supplier<CompletableFuture<Long>> step) {
            if (tries >= maximumTries) {
                return lost();
            }
            return delay.after(backoff.next()).thenCompose(nothing -> step.get());
        }

        private CompletableFuture<Long> lost() {
            return failed(FailureCode.PLATFORM_ANSWER_LOST, "it is not known whether " + object + " was written", null);
        }
    }

    private static CompletableFuture<Long> failed(FailureCode code, String message, Throwable cause) {
        return CompletableFuture.failedFuture(new MangowallException(code, message, cause));
    }

    /** The code of a failed call to the platform, from whatever wraps it. */
    public static FailureCode codeOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof MangowallException known ? known.failureCode() : FailureCode.INTERNAL;
    }
}
