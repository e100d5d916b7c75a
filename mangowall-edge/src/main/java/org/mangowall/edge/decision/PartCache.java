package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.edge.model.PromptPart;

/** The prompt parts that a runner is believed to keep; the least recently used ones yield. */
final class PartCache {

    /** The part that was given least recently comes first. */
    private final Map<Long, PartsCached> parts = new LinkedHashMap<>();

    private final long capacityTokens;
    private long keptTokens;

    PartCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    long capacityTokens() {
        return capacityTokens;
    }

    /** Notes that a runner is going to read a prompt. */
    void reading(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            PartsCached known = parts.remove(part.identifier());
            parts.put(part.identifier(), known == null ? new PartsCached(part.tokens(), false) : known);
            keptTokens += known == null ? part.tokens() : 0;
        }
        evict();
    }

    /** Notes that a runner has read a prompt, so that others may fetch it. */
    void read(List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            PartsCached kept = parts.get(part.identifier());
            if (kept != null && !kept.isRead()) {
                parts.put(part.identifier(), new PartsCached(kept.tokens(), true));
            }
        }
    }

    /** How many tokens at the start of a prompt are kept or being read. */
    int keptTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.identifier())) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** How many tokens at the start of a prompt have been read and can be fetched. */
    int readTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            PartsCached kept = parts.get(part.identifier());
            if (kept == null || !kept.isRead()) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** The parts that have been read, the least recently used one first. */
    List<PromptPart> readParts() {
        List<PromptPart> read = new ArrayList<>();
        parts.forEach((identifier, kept) -> {
            if (kept.isRead()) {
                read.add(new PromptPart(identifier, kept.tokens()));
            }
        });
        return read;
    }

    private void evict() {
        Iterator<Map.Entry<Long, PartsCached>> oldest = parts.entrySet().iterator();
        while (keptTokens > capacityTokens && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    private record PartsCached(int tokens, boolean isRead) {}
}
