package org.mangowall.standin.caller;

import java.util.Arrays;

/**
 * The largest difference in service per weight between two workspaces over any interval of the measurement.
 *
 * <p>Meaningful only if all sampled workspaces are backlogged throughout the measurement.
 */
final class ServiceGap {

    private final int size;
    private final double[] smallestDifference;
    private final double[] largestDifference;

    ServiceGap(int size) {
        this.size = size;
        this.smallestDifference = new double[size * size];
        this.largestDifference = new double[size * size];
        Arrays.fill(smallestDifference, Double.POSITIVE_INFINITY);
        Arrays.fill(largestDifference, Double.NEGATIVE_INFINITY);
    }

    /** Samples the cumulative service per weight of each workspace. */
    void sample(double[] servedPerWeight) {
        for (int left = 0; left < size; left++) {
            for (int right = left + 1; right < size; right++) {
                int index = left * size + right;
                double difference = servedPerWeight[left] - servedPerWeight[right];
                smallestDifference[index] = Math.min(smallestDifference[index], difference);
                largestDifference[index] = Math.max(largestDifference[index], difference);
            }
        }
    }

    double largest() {
        double largest = 0;
        for (int index = 0; index < smallestDifference.length; index++) {
            double range = largestDifference[index] - smallestDifference[index];
            largest = Double.isFinite(range) ? Math.max(largest, range) : largest;
        }
        return largest;
    }
}
