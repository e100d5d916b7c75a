package org.mangowall.standin.caller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** What callers were told of each nonce, and the comparison with the ledgers. */
final class CallOutcomes {

    private static final int SHOWN_NONCES = 20;

    private final Map<String, Outcome> byNonce = new TreeMap<>();

    void add(CallEnd end) {
        Call call = end.call();
        Outcome outcome = new Outcome(
                call.plan().isAtMostOnce() && !call.plan().direct(),
                call.plan().method().equals("GET"),
                end.verdict() == Verdict.ANSWERED,
                end.verdict() == Verdict.NOT_RUN);
        byNonce.merge(call.nonce(), outcome, Outcome::and);
    }

    /** Compares with the executions by nonce. */
    Map<String, Object> compare(Map<String, Integer> executions) {
        List<String> doubled = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        List<String> falseNotRun = new ArrayList<>();
        byNonce.forEach((nonce, outcome) -> {
            int count = executions.getOrDefault(nonce, 0);
            if (outcome.isAtMostOnce() && count > 1) {
                doubled.add(nonce);
            }
            if (outcome.wasAnswered() && !outcome.leavesNoTrace() && count == 0) {
                lost.add(nonce);
            }
            if (outcome.wasAlwaysNotRun() && count > 0) {
                falseNotRun.add(nonce);
            }
        });
        Map<String, Object> document = new LinkedHashMap<>();
        put(document, "doubled", doubled);
        put(document, "acknowledged_but_lost", lost);
        put(document, "not_run_but_executed", falseNotRun);
        return document;
    }

    private static void put(Map<String, Object> document, String name, List<String> nonces) {
        document.put(name, nonces.size());
        if (!nonces.isEmpty()) {
            document.put(name + "_nonces", nonces.subList(0, Math.min(SHOWN_NONCES, nonces.size())));
        }
    }

    /** Adds the executions that a ledger's document shows. */
    static void addExecutions(Map<String, Integer> executions, JsonNode ledger) {
        for (Map.Entry<String, JsonNode> entry :
                ledger.path("requests_by_nonce").properties()) {
            executions.merge(entry.getKey(), entry.getValue().size(), Integer::sum);
        }
    }

    /** What was told of one nonce over all its tries. */
    private record Outcome(boolean isAtMostOnce, boolean leavesNoTrace, boolean wasAnswered, boolean wasAlwaysNotRun) {

        Outcome and(Outcome later) {
            return new Outcome(
                    isAtMostOnce,
                    leavesNoTrace,
                    wasAnswered || later.wasAnswered,
                    wasAlwaysNotRun && later.wasAlwaysNotRun);
        }
    }
}
