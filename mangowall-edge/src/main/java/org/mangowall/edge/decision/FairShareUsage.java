package org.mangowall.edge.decision;

/**
 * Usage of a workspace as a multiple of its max-min fair share; above 1 it uses more than its share.
 *
 * @param ofRatedShare multiple of its share of the rated throughput of the engines
 * @param ofCurrentShare multiple of its share of the current throughput, if that is higher than the rated one
 */
public record FairShareUsage(double ofRatedShare, double ofCurrentShare) {

    static final FairShareUsage NONE = new FairShareUsage(0, 0);
}
