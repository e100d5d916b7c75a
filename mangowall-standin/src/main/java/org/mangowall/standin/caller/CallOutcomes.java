package org.mangowall.standin.caller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Collects the outcome that callers saw for each nonce and compares it with the runners' ledgers. */
final class CallOutcomes {

    private static final int MAXIMUM_LISTED_NONCES = 20;

    private final Map<String, Outcome> byNonce = new TreeMap<>();

    void add(AttemptResult result) {
        Call call = result.call();
        Outcome outcome = new Outcome(
                call.plan().isAtMostOnce() && !call.plan().direct(),
                call.plan().method().equals("GET"),
                result.verdict() == Verdict.ANSWERED,
                result.verdict() == Verdict.NOT_RUN);
        byNonce.merge(call.nonce(), outcome, Outcome::combine);
    }

    /** Compares the outcomes with the number of executions by nonce and returns the contradictions. */
    Map<String, Object> compare(Map<String, Integer> executions) {
        List<String> duplicateNonces = new ArrayList<>();
        List<String> lostNonces = new ArrayList<>();
        List<String> executedNotRunNonces = new ArrayList<>();
        byNonce.forEach((nonce, outcome) -> {
            int executionCount = executions.getOrDefault(nonce, 0);
            if (outcome.isAtMostOnce() && executionCount > 1) {
                duplicateNonces.add(nonce);
            }
            if (outcome.wasAnswered() && !outcome.isReadOnly() && executionCount == 0) {
                lostNonces.add(nonce);
            }
            if (outcome.wasAlwaysNotRun() && executionCount > 0) {
                executedNotRunNonces.add(nonce);
            }
        });
        Map<String, Object> document = new LinkedHashMap<>();
        put(document, "doubled", duplicateNonces);
        put(document, "acknowledged_but_lost", lostNonces);
        put(document, "not_run_but_executed", executedNotRunNonces);
        return document;
    }

    private static void put(Map<String, Object> document, String name, List<String> nonces) {
        document.put(name, nonces.size());
        if (!nonces.isEmpty()) {
            document.put(name + "_nonces", nonces.subList(0, Math.min(MAXIMUM_LISTED_NONCES, nonces.size())));
        }
    }

    /** Adds the executions listed in a ledger document. */
    static void addExecutions(Map<String, Integer> executions, JsonNode ledger) {
        for (Map.Entry<String, JsonNode> entry :
                ledger.path("requests_by_nonce").properties()) {
            executions.merge(entry.getKey(), entry.getValue().size(), Integer::sum);
        }
    }

    /** The combined outcome of all attempts of one nonce. */
    private record Outcome(boolean isAtMostOnce, boolean isReadOnly, boolean wasAnswered, boolean wasAlwaysNotRun) {

        Outcome combine(Outcome later) {
            return new Outcome(
                    isAtMostOnce,
                    isReadOnly,
                    wasAnswered || later.wasAnswered,
                    wasAlwaysNotRun && later.wasAlwaysNotRun);
        }
    }
}
