package org.mangowall.benchmark;

import java.util.HashMap;
import java.util.Map;

import org.mangowall.benchmark.fleet.FleetLayout;
import org.mangowall.benchmark.fleet.FleetSampler;

/**
 * Measures the largest service gap between two workspaces while both are backlogged at one service.
 *
 * <p>The gap of a pair is the range of the difference of their served cost divided by weight, since both became
 * backlogged.
 */
final class FairnessMeter {

    private final FleetLayout layout;
    private final int service;
    private final Map<Integer, Range> ranges = new HashMap<>();
    private double largestGap;

    FairnessMeter(FleetLayout layout, int service) {
        this.layout = layout;
        this.service = service;
    }

    /** Range of the observed differences. */
    private static final class Range {

        private double smallest = Double.POSITIVE_INFINITY;
        private double largest = Double.NEGATIVE_INFINITY;

        private double add(double difference) {
            smallest = Math.min(smallest, difference);
            largest = Math.max(largest, difference);
            return largest - smallest;
        }
    }

    /** Takes one sample and returns the largest current gap of any pair. */
    double sample(FleetSampler sampler) {
        double gapNow = 0;
        for (int first = 0; first < layout.workspaces(); first++) {
            for (int second = first + 1; second < layout.workspaces(); second++) {
                int pair = first * layout.workspaces() + second;
                boolean both = sampler.waiting(service, first) > 0 && sampler.waiting(service, second) > 0;
                if (!both) {
                    ranges.remove(pair);
                    continue;
                }
                double difference = servedByWeight(sampler, first) - servedByWeight(sampler, second);
                gapNow = Math.max(
                        gapNow, ranges.computeIfAbsent(pair, key -> new Range()).add(difference));
            }
        }
        largestGap = Math.max(largestGap, gapNow);
        return gapNow;
    }

    private double servedByWeight(FleetSampler sampler, int workspace) {
        return sampler.served(service, workspace) / layout.weight(workspace);
    }

    double largestGap() {
        return largestGap;
    }
}
