package org.mangowall.router.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.operator.ExplanationDocument.Decision;

/** Keeps the decisions on the most recent requests for operators; thread-safe. */
public final class DecisionRecords {

    private static final int MAXIMUM_RECORDS_PER_REQUEST = 24;

    private final Map<RequestIdentifier, List<Decision>> records;

    /** Creates an empty store that evicts the oldest request beyond {@code maximumRequests}. */
    public DecisionRecords(int maximumRequests) {
        this.records = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<RequestIdentifier, List<Decision>> eldest) {
                return size() > maximumRequests;
            }
        };
    }

    /** Adds a decision on a request, unless the request already has the maximum number of records. */
    public synchronized void add(RequestIdentifier request, Decision decision) {
        List<Decision> requestDecisions = records.computeIfAbsent(request, key -> new ArrayList<>(3));
        if (requestDecisions.size() < MAXIMUM_RECORDS_PER_REQUEST) {
            requestDecisions.add(decision);
        }
    }

    /** Returns the decisions on a request, oldest first; empty when none is kept. */
    public synchronized List<Decision> of(RequestIdentifier request) {
        return List.copyOf(records.getOrDefault(request, List.of()));
    }
}
