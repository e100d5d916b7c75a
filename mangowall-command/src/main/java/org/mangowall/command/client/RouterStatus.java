package org.mangowall.command.client;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** What came back when a router was asked for its status. */
public sealed interface RouterStatus {

    /** The operator address that was asked. */
    HostAndPort address();

    /**
     * The router answered.
     *
     * @param address the operator address that was asked
     * @param document its answer
     */
    record Answered(HostAndPort address, RouterStatusDocument document) implements RouterStatus {}

    /**
     * The router gave no usable answer.
     *
     * @param address the operator address that was asked
     * @param failure why
     */
    record Silent(HostAndPort address, MangowallException failure) implements RouterStatus {}
}
