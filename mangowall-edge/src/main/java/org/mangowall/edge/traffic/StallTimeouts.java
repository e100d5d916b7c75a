package org.mangowall.edge.traffic;

import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.model.Route;

/** The times without data after which an attempt at a runner counts as stalled. */
final class StallTimeouts {

    /** A healthy runner takes at most this multiple of the predicted time. */
    private static final double MAX_PREDICTION_ERROR_FACTOR = 3;

    private static final double LATENCY_GOAL_FACTOR = 2;

    private static final long MIN_STREAM_MILLIS = 600;
    /** Callers abandon a stream after 2 s without an event; another runner needs part of that time to take over. */
    private static final long MIN_GAP_MILLIS = 1_100;

    private static final long GAP_GOAL_FACTOR = 2;

    private StallTimeouts() {}

    /** The timeout for the first byte of a response. */
    static long firstByteMillis(Route route, PlacementDecision.Send decision) {
        double goalMillis = LATENCY_GOAL_FACTOR * route.latencyGoal().toMillis();
        double minimum = route.kind().isStream() ? Math.max(goalMillis, MIN_STREAM_MILLIS) : goalMillis;
        return (long) Math.max(MAX_PREDICTION_ERROR_FACTOR * decision.predictedMillis(), minimum);
    }

    /** The timeout between two parts of a streamed response. */
    static long betweenPartsMillis(Route route) {
        return Math.max(MIN_GAP_MILLIS, GAP_GOAL_FACTOR * route.gapGoal().toMillis());
    }
}
