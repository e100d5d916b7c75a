package org.mangowall.standin.caller;

import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.mangowall.inventory.ServiceKind;

import static org.junit.jupiter.api.Assertions.assertEquals;

class CallOutcomesTest {

    private static final LoadPlan POST =
            new LoadPlan("aquatique-levis", "registre", ServiceKind.PLAIN, 1, 1, 1, 2, false, "POST", true, 3, false);

    private final CallOutcomes outcomes = new CallOutcomes();

    @Test
    void secondExecutionIsReportedAsDoubled() {
        addResult("a", Verdict.ANSWERED);
        assertEquals(1, compare(Map.of("a", 2)).get("doubled"));
        assertEquals(0, compare(Map.of("a", 1)).get("doubled"));
    }

    @Test
    void answeredCallWithoutExecutionIsReportedAsLost() {
        addResult("a", Verdict.ANSWERED);
        assertEquals(1, compare(Map.of()).get("acknowledged_but_lost"));
        assertEquals(0, compare(Map.of("a", 1)).get("acknowledged_but_lost"));
    }

    @Test
    void executionOfACallReportedAsNotRunIsDetected() {
        addResult("a", Verdict.NOT_RUN);
        assertEquals(1, compare(Map.of("a", 1)).get("not_run_but_executed"));
    }

    @Test
    void notRunAttemptDoesNotSettleAnEarlierUnknownOne() {
        addResult("a", Verdict.UNKNOWN);
        addResult("a", Verdict.NOT_RUN);
        assertEquals(0, compare(Map.of("a", 1)).get("not_run_but_executed"));
    }

    private void addResult(String nonce, Verdict verdict) {
        Call call = new Call(POST, nonce, new SplittableRandom(1));
        outcomes.add(new AttemptResult(call, "", verdict, "", "", 1, 1));
    }

    private Map<String, Object> compare(Map<String, Integer> executions) {
        return outcomes.compare(executions);
    }
}
