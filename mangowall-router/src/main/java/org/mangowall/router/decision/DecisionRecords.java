package org.mangowall.router.decision;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.kernel.name.RequestIdentifier;

/** The decisions on the latest requests, kept for a bounded number of them. */
public final class DecisionRecords {

    private static final int MAXIMUM_RECORDS_OF_REQUEST = 24;

    private final Map<RequestIdentifier, List<DecisionRecord>> records;

    /** Keeps the records of so many requests. */
    public DecisionRecords(int maximumRequests) {
        this.records = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<RequestIdentifier, List<DecisionRecord>> eldest) {
                return size() > maximumRequests;
            }
        };
    }

    /**
     * One decision.
     *
     * @param at when it was carried out
     * @param text the decision in a sentence
     */
    public record DecisionRecord(Instant at, String text) {}

    /** Adds a decision on a request. */
    public synchronized void add(RequestIdentifier request, Instant at, String text) {
        List<DecisionRecord> ofRequest = records.computeIfAbsent(request, key -> new ArrayList<>(4));
        if (ofRequest.size() < MAXIMUM_RECORDS_OF_REQUEST) {
            ofRequest.add(new DecisionRecord(at, text));
        }
    }

    /** The decisions on a request in their order; empty when none is kept. */
    public synchronized List<DecisionRecord> of(RequestIdentifier request) {
        return List.copyOf(records.getOrDefault(request, List.of()));
    }
}
