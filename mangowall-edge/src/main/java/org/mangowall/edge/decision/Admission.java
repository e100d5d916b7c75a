package org.mangowall.edge.decision;

import org.mangowall.edge.model.PromptDescription;
import org.mangowall.kernel.failure.FailureCode;

/** Decides how long a request may be expected to wait before it is turned away instead. */
final class Admission {

    /** The part of the goal that a prediction may use up; the rest covers its error and the way to the caller. */
    private static final double GOAL_SHARE = 0.85;
    /** How fast that part shrinks with what a workspace takes beyond what it is owed. */
    private static final double SURPLUS_EXPONENT = 0.5;
    /** Up to this multiple of what others like it get, a workspace is not cut further. */
    private static final double OVER_SHARE = 1.5;
    /** From this multiple of what others like it get, a workspace gets only places for which nobody waits. */
    private static final double FAR_OVER_SHARE = 2.5;
    /** A prompt that takes longer to read than the goal gets this much more than its own time. */
    private static final double LONG_PROMPT_FACTOR = 1.25;
    /** What requests with much reading for little answer may use, against others. */
    private static final double LEAST_YIELD_FACTOR = 0.75;
    /** Output counts so much more than input in what an answer is worth to callers. */
    private static final double OUTPUT_WORTH = 10;
    /** The worth of a token of engine time from which on a request counts as worth its time. */
    private static final double GOOD_YIELD = 3;
    /** An answer that comes late is still worth waiting for up to this part of the caller's patience. */
    private static final double PATIENCE_SHARE = 0.6;

    private static final double LEAST_RETRY_MILLIS = 50;
    private static final double MOST_RETRY_MILLIS = 4_000;

    private final FleetLoad fleet;
    private final long shareWindowNanos;

    Admission(FleetLoad fleet, long shareWindowNanos) {
        this.fleet = fleet;
        this.shareWindowNanos = shareWindowNanos;
    }

    /** The longest predicted wait with which a request is let in, in milliseconds. */
    double allowedMillis(PlacementRequest request, int unreadTokens, long now) {
        if (request.prompt().isEmpty()) {
            return PATIENCE_SHARE * request.leftMillis();
        }
        double goal = request.route().latencyGoal().toMillis();
        double left = Math.max(goal - request.elapsedMillis(), goal / 2);
        ShareLoad load = shareLoad(request, now);
        double allowed = left * yieldFactor(request.prompt().get(), unreadTokens);
        if (load.ofRated() <= 1) {
            double alone = LONG_PROMPT_FACTOR * fleet.readMillis(request.service(), unreadTokens);
            return Math.min(Math.max(allowed * GOAL_SHARE, alone), request.leftMillis());
        }
        return Math.min(allowed * goalShareAbove(load), request.leftMillis());
    }

    private static double goalShareAbove(ShareLoad load) {
        double owed = GOAL_SHARE * Math.pow(load.ofRated(), -SURPLUS_EXPONENT);
        double farOver = Math.clamp((load.ofTaken() - OVER_SHARE) / (FAR_OVER_SHARE - OVER_SHARE), 0, 1);
        return owed * (1 - farOver);
    }

    private static double yieldFactor(PromptDescription prompt, int unreadTokens) {
        double worth = prompt.promptTokens() + OUTPUT_WORTH * prompt.outputTokens();
        double time = unreadTokens + 2.0 * prompt.outputTokens() + 1;
        double yield = worth / time / GOOD_YIELD;
        return Math.clamp(yield, LEAST_YIELD_FACTOR, 1);
    }

    PlacementDecision refuse(PlacementRequest request, double predictedMillis, double allowed, long now) {
        double load = shareLoad(request, now).ofRated();
        double untilShare = load <= 1 ? 0 : (load - 1) / load * shareWindowNanos / 1e6;
        double wait = Math.max(predictedMillis - allowed, untilShare);
        FailureCode code = load > 1 ? FailureCode.WORKSPACE_OVER_SHARE : FailureCode.RUNNERS_BUSY;
        return new PlacementDecision.Refuse(
                code, Math.clamp(wait, LEAST_RETRY_MILLIS, MOST_RETRY_MILLIS), predictedMillis, load);
    }

    private ShareLoad shareLoad(PlacementRequest request, long now) {
        return request.workspace()
                .map(name -> fleet.shareLoad(name, shareWindowNanos, now))
                .orElse(ShareLoad.NONE);
    }
}
