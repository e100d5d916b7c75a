package org.mangowall.edge.decision;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the fleet-wide retry limit while runners fail a large part of all requests for many seconds. */
class SharedRetryBudgetTest {

    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double SLACK_RETRIES = 56;
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int HOSTS = 8;

    @Test
    void allHostsTogetherStayWithinTheLimitOfEachWindow() {
        SharedRetryBudget[] budgets = new SharedRetryBudget[HOSTS];
        for (int host = 0; host < HOSTS; host++) {
            budgets[host] = new SharedRetryBudget(RETRIES_PER_REQUEST, SLACK_RETRIES, WINDOW_NANOS);
        }
        int[] retriesBySecond = new int[40];
        int perHostAndSecond = 5;
        for (int second = 0; second < retriesBySecond.length; second++) {
            for (int host = 0; host < HOSTS; host++) {
                for (int request = 0; request < perHostAndSecond; request++) {
                    long now = second * 1_000_000_000L + request * 100 * Fixtures.MILLI;
                    budgets[host].recordRequest(now);
                    retriesBySecond[second] += budgets[host].tryTake(HOSTS, now) ? 1 : 0;
                }
            }
        }
        double bound = RETRIES_PER_REQUEST * HOSTS * perHostAndSecond * 10 + SLACK_RETRIES;
        for (int start = 0; start + 10 <= retriesBySecond.length; start++) {
            int retries = 0;
            for (int second = start; second < start + 10; second++) {
                retries += retriesBySecond[second];
            }
            assertTrue(retries <= bound, retries + " retries from second " + start + ", bound " + bound);
            assertTrue(retries > 0, "no retries from second " + start);
        }
    }
}
