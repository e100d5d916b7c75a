package org.mangowall.edge.model;

/**
 * The load that a runner reports with an answer.
 *
 * @param running how many requests it runs
 * @param waiting how many wait there
 * @param slots how many it runs at once
 */
public record RunnerLoad(int running, int waiting, int slots) {}
