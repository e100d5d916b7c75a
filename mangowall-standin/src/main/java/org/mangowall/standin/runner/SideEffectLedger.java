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
 * Which requests were executed, by the nonce in their body and by the router's request identifier.
 *
 * <p>Runners of one service may share a ledger; it is safe for use by several threads.
 */
public final class SideEffectLedger {

    private static final Pattern NONCE = Pattern.compile("nonce=([A-Za-z0-9_-]{1,64})");

    private final String identifier = UUID.randomUUID().toString();
    private final ConcurrentMap<String, List<String>> requestsByNonce = new ConcurrentHashMap<>();

    /** The nonce in a body; empty text when there is none. */
    public static String nonceOf(String text) {
        Matcher matcher = NONCE.matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Notes that the request with the nonce was executed; without a nonce its identifier serves as one. */
    public void record(String nonce, String requestIdentifier) {
        String key = nonce.isEmpty() ? requestIdentifier : nonce;
        requestsByNonce.merge(key, List.of(requestIdentifier), SideEffectLedger::join);
    }

    private static List<String> join(List<String> left, List<String> right) {
        List<String> joined = new ArrayList<>(left);
        joined.addAll(right);
        return List.copyOf(joined);
    }

    /** How often the nonce was executed. */
    public int executions(String nonce) {
        return requestsByNonce.getOrDefault(nonce, List.of()).size();
    }

    /** How many nonces were executed more than once. */
    public long doubledNonces() {
        return requestsByNonce.values().stream()
                .filter(requests -> requests.size() > 1)
                .count();
    }

    /** The ledger as its JSON shows it: the requests that executed each nonce. */
    public Map<String, Object> toDocument() {
        Map<String, List<String>> sorted = new TreeMap<>(requestsByNonce);
        long executed = sorted.values().stream().mapToLong(List::size).sum();
        return Map.of(
                "ledger", identifier, "executed", executed, "doubled", doubledNonces(), "requests_by_nonce", sorted);
    }
}
