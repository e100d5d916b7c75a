package org.mangowall.router.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.operator.ExplanationDocument.Decision;

/** The decisions on the latest requests, kept for a bounded number of them; safe for use by several threads. */
public final class DecisionRecords {

    private static final int MAXIMUM_RECORDS_OF_REQUEST = 24;

    private final Map<RequestIdentifier, List<Decision>> records;

    /** Keeps the records of so many requests. */
    public DecisionRecords(int maximumRequests) {
        this.records = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<RequestIdentifier, List<Decision>> eldest) {
                return size() > maximumRequests;
            }
        };
    }

    /** Adds a decision on a request. */
    public synchronized void add(RequestIdentifier request, Decision decision) {
        List<Decision> ofRequest = records.computeIfAbsent(request, key -> new ArrayList<>(3));
        if (ofRequest.size() < MAXIMUM_RECORDS_OF_REQUEST) {
            ofRequest.add(decision);
        }
    }

    /** The decisions on a request in their order; empty when none is kept. */
    public synchronized List<Decision> of(RequestIdentifier request) {
        return List.copyOf(records.getOrDefault(request, List.of()));
    }
}
