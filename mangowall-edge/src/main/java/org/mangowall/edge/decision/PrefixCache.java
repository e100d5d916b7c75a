package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.edge.model.PromptPart;

/** Estimate of the prompt parts in a runner's prefix cache, with least-recently-used eviction. */
final class PrefixCache {

    /** In order of use, the least recently used part first. */
    private final Map<Long, CachedPart> parts = new LinkedHashMap<>();

    private long capacityTokens;
    private long cachedTokens;

    PrefixCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    long capacityTokens() {
        return capacityTokens;
    }

    void setCapacityTokens(long newCapacityTokens) {
        capacityTokens = newCapacityTokens;
        evict();
    }

    /** Adds the parts of a prompt that was sent to the runner, as most recently used. */
    void addPrompt(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            CachedPart known = parts.remove(part.identifier());
            parts.put(part.identifier(), known == null ? new CachedPart(part.tokens(), false) : known);
            cachedTokens += known == null ? part.tokens() : 0;
        }
        evict();
    }

    /** Marks the parts of a prompt as processed, so that other runners may fetch their key-value cache. */
    void markProcessed(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            CachedPart cached = parts.get(part.identifier());
            if (cached != null && !cached.isProcessed()) {
                parts.put(part.identifier(), new CachedPart(cached.tokens(), true));
            }
        }
    }

    /** Returns the length of the prefix of a prompt that is cached or being processed, in tokens. */
    int cachedTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.identifier())) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Returns the length of the prefix of a prompt that is fully processed and can be fetched, in tokens. */
    int fetchableTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            CachedPart cached = parts.get(part.identifier());
            if (cached == null || !cached.isProcessed()) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Returns the parts that can be fetched, the least recently used one first. */
    List<PromptPart> fetchableParts() {
        List<PromptPart> fetchable = new ArrayList<>();
        parts.forEach((identifier, cached) -> {
            if (cached.isProcessed()) {
                fetchable.add(new PromptPart(identifier, cached.tokens()));
            }
        });
        return fetchable;
    }

    private void evict() {
        Iterator<Map.Entry<Long, CachedPart>> oldest = parts.entrySet().iterator();
        while (cachedTokens > capacityTokens && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    private record CachedPart(int tokens, boolean isProcessed) {}
}
