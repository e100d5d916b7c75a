package org.mangowall.edge.decision;

/**
 * Usage of a workspace as a multiple of its max-min fair share; above 1 it uses more than its share.
 *
 * @param ofRatedShare multiple of its share of the rated throughput of the engines
 * @param ofCurrentShare multiple of its share of the current throughput
 * @param admittedFraction part of its requests that may be admitted; below 1 in favour of a worse served workspace
 */
public record FairShareUsage(double ofRatedShare, double ofCurrentShare, double admittedFraction) {

    static final FairShareUsage ZERO = new FairShareUsage(0, 0, 1);
    /** Exactly the fair share, for requests without a workspace. */
    static final FairShareUsage EQUAL = new FairShareUsage(1, 1, 1);
}
