package org.mangowall.standin.runner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Records the executed requests by the nonce in their body and the router's request identifier.
 *
 * <p>Thread-safe, so that all runners of a service can share a ledger.
 */
public final class SideEffectLedger {

    private static final Pattern NONCE = Pattern.compile("nonce=([A-Za-z0-9_-]{1,64})");

    private final String identifier = UUID.randomUUID().toString();
    private final ConcurrentMap<String, List<String>> requestsByNonce = new ConcurrentHashMap<>();

    /** Returns the nonce in a body, or an empty string when there is none. */
    public static String nonceOf(String text) {
        Matcher matcher = NONCE.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Records the execution of a request; without a nonce, the request identifier serves as the key. */
    public void record(String nonce, String requestIdentifier) {
        String key = nonce.isEmpty() ? requestIdentifier : nonce;
        requestsByNonce.merge(key, List.of(requestIdentifier), SideEffectLedger::join);
    }

    private static List<String> join(List<String> left, List<String> right) {
        List<String> joined = new ArrayList<>(left);
        joined.addAll(right);
        return List.copyOf(joined);
    }

    /** Returns the number of executions of a nonce. */
    public int executionCount(String nonce) {
        return requestsByNonce.getOrDefault(nonce, List.of()).size();
    }

    /** Returns the number of nonces that were executed more than once. */
    public long duplicateNonces() {
        return requestsByNonce.values().stream()
                .filter(requests -> requests.size() > 1)
                .count();
    }

    /** Returns the ledger as a JSON document with the identifiers of the requests that executed each nonce. */
    public Map<String, Object> toDocument() {
        Map<String, List<String>> sorted = new TreeMap<>(requestsByNonce);
        long executed = sorted.values().stream().mapToLong(List::size).sum();
        return Map.of(
                "ledger", identifier, "executed", executed, "doubled", duplicateNonces(), "requests_by_nonce", sorted);
    }
}
