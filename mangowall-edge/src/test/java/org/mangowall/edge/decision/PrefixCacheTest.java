package org.mangowall.edge.decision;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.PromptPart;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks that the order of eviction follows the prompts sent to an engine, not look-ups in the estimate. */
class PrefixCacheTest {

    private static List<PromptPart> part(long identifier) {
        return List.of(new PromptPart(identifier, 400));
    }

    @Test
    void lookUpsDoNotChangeTheEvictionOrder() {
        PrefixCache cache = new PrefixCache(1_000);
        cache.addPrompt(part(1));
        cache.markProcessed(part(1));
        cache.addPrompt(part(2));
        assertEquals(400, cache.fetchableTokens(part(1)));
        assertEquals(400, cache.cachedTokens(part(1)));
        cache.addPrompt(part(3));
        assertEquals(0, cache.cachedTokens(part(1)), "the part sent first is evicted first");
        assertEquals(400, cache.cachedTokens(part(2)));
    }

    @Test
    void sendingAPartAgainMakesItMostRecentlyUsed() {
        PrefixCache cache = new PrefixCache(1_000);
        cache.addPrompt(part(1));
        cache.addPrompt(part(2));
        cache.addPrompt(part(1));
        cache.addPrompt(part(3));
        assertEquals(400, cache.cachedTokens(part(1)));
        assertEquals(0, cache.cachedTokens(part(2)));
    }
}
