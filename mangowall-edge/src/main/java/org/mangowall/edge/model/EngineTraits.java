package org.mangowall.edge.model;

/**
 * What the configuration tells of the model engines of a service.
 *
 * @param slots how many requests an engine batches
 * @param memoryTokens how many tokens its key-value cache holds
 * @param bytesPerToken the size of one token's key-value cache
 * @param linkBytesPerMillisecond the speed at which engines copy key-value cache to each other
 */
public record EngineTraits(int slots, long memoryTokens, double bytesPerToken, double linkBytesPerMillisecond) {}
