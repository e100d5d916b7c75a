package org.mangowall.edge.model;

import java.net.InetSocketAddress;

/**
 * A copy of a run's memory, with which the run goes on at another runner.
 *
 * @param source the address of the runner that made the copy
 * @param handle identifies the copy there; it can be used once
 */
public record RunCopy(InetSocketAddress source, String handle) {}
