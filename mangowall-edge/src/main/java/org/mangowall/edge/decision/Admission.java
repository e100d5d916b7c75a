package org.mangowall.edge.decision;

/**
 * What decided whether a request is admitted.
 *
 * @param allowedMillis longest predicted time to the first part of the response at which it is admitted
 * @param usage usage of its workspace when it was decided
 */
public record Admission(double allowedMillis, FairShareUsage usage) {

    static final Admission NONE = new Admission(0, FairShareUsage.EQUAL);
}
