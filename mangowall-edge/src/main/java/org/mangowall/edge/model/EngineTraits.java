package org.mangowall.edge.model;

/**
 * Configured properties of the model engines of a service.
 *
 * @param slots how many requests an engine runs in one batch
 * @param memoryTokens capacity of its key-value cache, in tokens
 * @param bytesPerToken size of the key-value cache of one token
 * @param linkBytesPerMillisecond bandwidth at which engines fetch key-value cache from each other
 * @param movesRuns whether an engine can copy a run to another engine, where it goes on
 */
public record EngineTraits(
        int slots, long memoryTokens, double bytesPerToken, double linkBytesPerMillisecond, boolean movesRuns) {}
