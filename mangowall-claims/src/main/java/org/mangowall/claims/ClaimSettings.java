package org.mangowall.claims;

import java.time.Duration;

/**
 * The times and bounds of claims.
 *
 * @param keyLifetime how long a key stays claimed
 * @param claimTimeout how long a claim may wait for the platform
 * @param writesPerSecond how many writes a second each partition makes at most in the long run
 * @param writeBurst how many writes a partition that was idle may make at once
 * @param maximumPending how many claims of a partition may wait
 * @param maximumObjectBytes how large a partition's object may grow
 * @param keptAnswerBytes how many bytes of answers are kept in memory
 */
public record ClaimSettings(
        Duration keyLifetime,
        Duration claimTimeout,
        double writesPerSecond,
        int writeBurst,
        int maximumPending,
        int maximumObjectBytes,
        long keptAnswerBytes) {

    private static final Duration DEFAULT_KEY_LIFETIME = Duration.ofHours(24);
    private static final Duration DEFAULT_CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final double DEFAULT_WRITES_PER_SECOND = 3;
    private static final int DEFAULT_WRITE_BURST = 6;
    private static final int DEFAULT_MAXIMUM_PENDING = 1024;
    private static final int DEFAULT_MAXIMUM_OBJECT_BYTES = 1_000_000;
    private static final long DEFAULT_KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

    /** The settings with which 64 partitions stay under 200 writes a second. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                DEFAULT_KEY_LIFETIME,
                DEFAULT_CLAIM_TIMEOUT,
                DEFAULT_WRITES_PER_SECOND,
                DEFAULT_WRITE_BURST,
                DEFAULT_MAXIMUM_PENDING,
                DEFAULT_MAXIMUM_OBJECT_BYTES,
                DEFAULT_KEPT_ANSWER_BYTES);
    }
}
