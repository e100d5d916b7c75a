package org.mangowall.edge.model;

/**
 * A section of a prompt that other requests may share, so that its key-value cache can be reused.
 *
 * @param identifier identifies the text of the part
 * @param tokens its length
 */
public record PromptPart(long identifier, int tokens) {}
