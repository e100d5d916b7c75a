package org.mangowall.edge.decision;

import org.mangowall.edge.model.PromptDescription;
import org.mangowall.kernel.failure.FailureCode;

/** Computes the longest predicted latency at which a request is still admitted, and builds rejections. */
final class AdmissionControl {

    /** Fraction of the latency goal that a prediction may use; the rest covers prediction error and network time. */
    private static final double GOAL_FRACTION = 0.85;
    /** How fast that fraction shrinks as a workspace exceeds its share of the rated capacity. */
    private static final double OVERUSE_EXPONENT = 0.5;
    /** How fast it grows or shrinks as a workspace uses less or more than its share of the current throughput. */
    private static final double BALANCE_EXPONENT = 1;
    /** How much the allowed latency of a workspace grows at most while it uses less than its share. */
    private static final double MAX_BALANCE_FACTOR = 2;
    /** A prompt that an idle engine can't process within the goal is allowed this multiple of its processing time. */
    private static final double LONG_PROMPT_FACTOR = 1.25;
    /** Lower bound of the factor for requests with long prompts and short outputs. */
    private static final double MIN_VALUE_FACTOR = 0.75;
    /** Value of an output token to the caller, relative to an input token. */
    private static final double OUTPUT_TOKEN_VALUE = 10;
    /** Value per token of engine time from which a request may use its full allowance. */
    private static final double FULL_VALUE_PER_TOKEN = 3;
    /** Fraction of the caller's remaining time up to which a late response to a plain request is worth waiting for. */
    private static final double PLAIN_TIMEOUT_FRACTION = 0.6;

    private static final double MIN_RETRY_AFTER_MILLIS = 50;
    private static final double MAX_RETRY_AFTER_MILLIS = 4_000;

    private final FleetLoad fleet;
    private final long shareWindowNanos;

    AdmissionControl(FleetLoad fleet, long shareWindowNanos) {
        this.fleet = fleet;
        this.shareWindowNanos = shareWindowNanos;
    }

    /** Returns the longest predicted latency at which a request is admitted, and the usage that it depends on. */
    Admission admissionOf(PlacementRequest request, int prefillTokens, long now) {
        FairShareUsage usage = fairShareUsage(request, now);
        return new Admission(allowedMillis(request, prefillTokens, usage), usage);
    }

    private double allowedMillis(PlacementRequest request, int prefillTokens, FairShareUsage usage) {
        if (request.prompt().isEmpty()) {
            return PLAIN_TIMEOUT_FRACTION * request.remainingMillis();
        }
        double goalMillis = request.route().latencyGoal().toMillis();
        double remainingMillis = Math.max(goalMillis - request.elapsedMillis(), goalMillis / 2);
        double allowed = remainingMillis * valueFactor(request.prompt().get(), prefillTokens);
        if (usage.ofRatedShare() <= 1) {
            double longPromptMillis = LONG_PROMPT_FACTOR * fleet.idleFirstTokenMillis(request.service(), prefillTokens);
            return Math.min(
                    Math.max(allowed * GOAL_FRACTION * balanceFactor(usage), longPromptMillis),
                    request.remainingMillis());
        }
        double overuseFactor = Math.pow(usage.ofRatedShare(), -OVERUSE_EXPONENT);
        double balanceFactor = balanceFactor(usage);
        double factor = balanceFactor < 1 ? Math.min(overuseFactor, balanceFactor) : overuseFactor * balanceFactor;
        return Math.min(allowed * GOAL_FRACTION * factor, request.remainingMillis());
    }

    /** Lets workspaces below their share wait longer than those above it, so that the latter are rejected first. */
    private static double balanceFactor(FairShareUsage usage) {
        return Math.min(Math.pow(usage.ofCurrentShare(), -BALANCE_EXPONENT), MAX_BALANCE_FACTOR);
    }

    private static double valueFactor(PromptDescription prompt, int prefillTokens) {
        double value = prompt.promptTokens() + OUTPUT_TOKEN_VALUE * prompt.outputTokens();
        double engineTokens = prefillTokens + 2.0 * prompt.outputTokens() + 1;
        double valuePerToken = value / engineTokens / FULL_VALUE_PER_TOKEN;
        return Math.clamp(valuePerToken, MIN_VALUE_FACTOR, 1);
    }

    PlacementDecision reject(double predictedMillis, Admission admission) {
        double usage = admission.usage().ofRatedShare();
        double untilFairShareMillis = usage <= 1 ? 0 : (usage - 1) / usage * shareWindowNanos / 1e6;
        double waitMillis = Math.max(predictedMillis - admission.allowedMillis(), untilFairShareMillis);
        FailureCode code = usage > 1 ? FailureCode.WORKSPACE_OVER_SHARE : FailureCode.RUNNERS_BUSY;
        return new PlacementDecision.Reject(
                code,
                Math.clamp(waitMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS),
                predictedMillis,
                admission);
    }

    private FairShareUsage fairShareUsage(PlacementRequest request, long now) {
        return request.workspace()
                .map(name -> fleet.fairShareUsage(name, shareWindowNanos, now))
                .orElse(FairShareUsage.EQUAL);
    }
}
