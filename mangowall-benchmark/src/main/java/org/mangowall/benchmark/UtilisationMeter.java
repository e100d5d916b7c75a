package org.mangowall.benchmark;

import org.mangowall.benchmark.fleet.FleetProbe;

/** Measures which part of the bearable load runs while work waits. */
final class UtilisationMeter {

    private final int service;
    private double used;
    private double bearable;

    UtilisationMeter(int service) {
        this.service = service;
    }

    void sample(FleetProbe probe) {
        if (probe.waiting(service) <= 0) {
            return;
        }
        int capacity = probe.bearable(service);
        used += Math.min(capacity, probe.running(service));
        bearable += capacity;
    }

    double utilisation() {
        return bearable == 0 ? 1 : used / bearable;
    }
}
