package org.mangowall.benchmark;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.benchmark.fleet.FleetProbe;
import org.mangowall.benchmark.fleet.FleetShape;

/**
 * Measures the largest gap of service between two workspaces over the time in which both wait for one service.
 *
 * <p>For each pair it follows the difference of the service received by weight; the gap is the range of that difference
 * since both began to wait.
 */
final class FairnessMeter {

    private final FleetShape shape;
    private final int service;
    private final Map<Integer, Range> ranges = new HashMap<>();
    private double largestGap;

    FairnessMeter(FleetShape shape, int service) {
        this.shape = shape;
        this.service = service;
    }

    /** The smallest and the largest difference seen. */
    private static final class Range {

        private double smallest = Double.POSITIVE_INFINITY;
        private double largest = Double.NEGATIVE_INFINITY;

        private double add(double difference) {
            smallest = Math.min(smallest, difference);
            largest = Math.max(largest, difference);
            return largest - smallest;
        }
    }

    /** Takes one sample; returns the largest gap of any pair now. */
    double sample(FleetProbe probe) {
        double gapNow = 0;
        for (int first = 0; first < shape.workspaces(); first++) {
            for (int second = first + 1; second < shape.workspaces(); second++) {
                int pair = first * shape.workspaces() + second;
                boolean both = probe.waiting(service, first) > 0 && probe.waiting(service, second) > 0;
                if (!both) {
                    ranges.remove(pair);
                    continue;
                }
                double difference = servedByWeight(probe, first) - servedByWeight(probe, second);
                gapNow = Math.max(
                        gapNow, ranges.computeIfAbsent(pair, key -> new Range()).add(difference));
            }
        }
        largestGap = Math.max(largestGap, gapNow);
        return gapNow;
    }

    private double servedByWeight(FleetProbe probe, int workspace) {
        return probe.served(service, workspace) / shape.weight(workspace);
    }

    double largestGap() {
        return largestGap;
    }
}
