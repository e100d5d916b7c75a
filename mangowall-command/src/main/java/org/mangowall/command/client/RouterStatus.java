package org.mangowall.command.client;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** The result of reading the status of a router. */
public sealed interface RouterStatus {

    /** Returns the operator address of the router. */
    HostAndPort address();

    /**
     * The router returned its status.
     *
     * @param address the operator address of the router
     * @param document the status
     */
    record Available(HostAndPort address, RouterStatusDocument document) implements RouterStatus {}

    /**
     * The router returned no usable status.
     *
     * @param address the operator address of the router
     * @param failure the reason
     */
    record Unavailable(HostAndPort address, MangowallException failure) implements RouterStatus {}
}
