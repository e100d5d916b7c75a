package org.mangowall.edge.traffic;

import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.model.Route;

/** After what time without a byte a runner counts as silent. */
final class Silence {

    /** Predictions are off by this factor at most while a runner is well. */
    private static final double PREDICTION_FACTOR = 3;

    private static final double LATENCY_GOALS = 2;
    private static final long LEAST_STREAM_MILLIS = 600;
    /** Callers give a stream up after two seconds without an event; another runner needs a part of that. */
    private static final long LEAST_GAP_MILLIS = 1_100;

    private static final long GAP_GOALS = 2;

    private Silence() {}

    /** Until the first part of an answer. */
    static long beforeAnswerMillis(Route route, PlacementDecision.Send decision) {
        double goals = LATENCY_GOALS * route.latencyGoal().toMillis();
        double least = route.kind().isStream() ? Math.max(goals, LEAST_STREAM_MILLIS) : goals;
        return (long) Math.max(PREDICTION_FACTOR * decision.predictedMillis(), least);
    }

    /** Between two parts of a stream. */
    static long betweenPartsMillis(Route route) {
        return Math.max(LEAST_GAP_MILLIS, GAP_GOALS * route.gapGoal().toMillis());
    }
}
