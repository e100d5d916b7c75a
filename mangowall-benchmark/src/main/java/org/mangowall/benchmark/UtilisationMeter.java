package org.mangowall.benchmark;

import org.mangowall.benchmark.fleet.FleetSampler;

/** Measures the share of the runner capacity that is used while requests wait. */
final class UtilisationMeter {

    private final int service;
    private double usedSum;
    private double capacitySum;

    UtilisationMeter(int service) {
        this.service = service;
    }

    void sample(FleetSampler sampler) {
        if (sampler.waiting(service) <= 0) {
            return;
        }
        int capacity = sampler.capacity(service);
        usedSum += Math.min(capacity, sampler.running(service));
        capacitySum += capacity;
    }

    double utilisation() {
        return capacitySum == 0 ? 1 : usedSum / capacitySum;
    }
}
