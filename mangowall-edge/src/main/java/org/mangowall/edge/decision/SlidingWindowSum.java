package org.mangowall.edge.decision;

/** A sum over a sliding time window, divided into buckets. */
final class SlidingWindowSum {

    private final long bucketNanos;
    private final double[] buckets;
    private long currentBucket = Long.MIN_VALUE;

    SlidingWindowSum(long windowNanos, int buckets) {
        this.bucketNanos = windowNanos / buckets;
        this.buckets = new double[buckets];
    }

    void add(double value, long now) {
        advance(now);
        buckets[slot(currentBucket)] += value;
    }

    double sum(long now) {
        advance(now);
        double total = 0;
        for (double value : buckets) {
            total += value;
        }
        return total;
    }

    /** Returns the sum over the last parts of the window. */
    double recentSum(int parts, long now) {
        advance(now);
        double total = 0;
        for (int age = 0; age < parts; age++) {
            total += buckets[slot(currentBucket - age)];
        }
        return total;
    }

    /** Whether something was added in each of the last parts of the window; the last one may have just begun. */
    boolean isSteady(int parts, long now) {
        advance(now);
        for (int age = 1; age < parts; age++) {
            if (buckets[slot(currentBucket - age)] == 0) {
                return false;
            }
        }
        return true;
    }

    private void advance(long now) {
        long bucket = Math.floorDiv(now, bucketNanos);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long cleared = Math.min(buckets.length, bucket - currentBucket);
        for (long step = 1; step <= cleared; step++) {
            buckets[slot(currentBucket + step)] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) buckets.length);
    }
}
