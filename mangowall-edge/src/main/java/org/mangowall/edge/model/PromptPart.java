package org.mangowall.edge.model;

/**
 * A part of a prompt that other requests may share.
 *
 * @param identifier names the part's text
 * @param tokens its length
 */
public record PromptPart(long identifier, int tokens) {}
