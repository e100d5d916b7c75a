package org.mangowall.claims;

import java.time.Duration;

/**
 * The timeouts and limits of claims.
 *
 * @param keyLifetime how long a key stays claimed
 * @param claimTimeout how long a claim may wait for a verdict from the platform
 * @param writesPerSecond the sustained write rate of each partition at most
 * @param writeBurst how many writes an idle partition may make at once
 * @param maximumPending how many claims of a partition may be pending, and how many settlements
 * @param maximumObjectBytes the maximum size of a partition's object
 * @param maximumCachedAnswerBytes the maximum size of the answers cached in memory
 */
public record ClaimSettings(
        Duration keyLifetime,
        Duration claimTimeout,
        double writesPerSecond,
        int writeBurst,
        int maximumPending,
        int maximumObjectBytes,
        long maximumCachedAnswerBytes) {

    private static final Duration DEFAULT_KEY_LIFETIME = Duration.ofHours(24);
    private static final Duration DEFAULT_CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final double DEFAULT_WRITES_PER_SECOND = 3;
    private static final int DEFAULT_WRITE_BURST = 6;
    private static final int DEFAULT_MAXIMUM_PENDING = 1024;
    private static final int DEFAULT_MAXIMUM_OBJECT_BYTES = 1_000_000;
    private static final long DEFAULT_MAXIMUM_CACHED_ANSWER_BYTES = 8 * 1024 * 1024;

    /** The default settings, with which 64 partitions make fewer than 200 writes per second. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                DEFAULT_KEY_LIFETIME,
                DEFAULT_CLAIM_TIMEOUT,
                DEFAULT_WRITES_PER_SECOND,
                DEFAULT_WRITE_BURST,
                DEFAULT_MAXIMUM_PENDING,
                DEFAULT_MAXIMUM_OBJECT_BYTES,
                DEFAULT_MAXIMUM_CACHED_ANSWER_BYTES);
    }
}
