package org.mangowall.edge.decision;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.PromptPart;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What an engine is believed to keep follows what it was given, not what was asked about it. */
class PartCacheTest {

    private static List<PromptPart> part(long identifier) {
        return List.of(new PromptPart(identifier, 400));
    }

    @Test
    void lookingAtAPartDoesNotKeepIt() {
        PartCache cache = new PartCache(1_000);
        cache.reading(part(1));
        cache.read(part(1));
        cache.reading(part(2));
        assertEquals(400, cache.readTokens(part(1)));
        assertEquals(400, cache.keptTokens(part(1)));
        cache.reading(part(3));
        assertEquals(0, cache.keptTokens(part(1)), "the engine saw it first and yields it first");
        assertEquals(400, cache.keptTokens(part(2)));
    }

    @Test
    void givingAPartAgainKeepsIt() {
        PartCache cache = new PartCache(1_000);
        cache.reading(part(1));
        cache.reading(part(2));
        cache.reading(part(1));
        cache.reading(part(3));
        assertEquals(400, cache.keptTokens(part(1)));
        assertEquals(0, cache.keptTokens(part(2)));
    }
}
