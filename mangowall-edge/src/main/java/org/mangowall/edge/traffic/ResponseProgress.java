package org.mangowall.edge.traffic;

import java.util.Optional;

/**
 * How far the response of a runner had got when its attempt ended.
 *
 * @param framing what delimits the body
 * @param bodyBytes bytes of the body received
 * @param unfinishedEventBytes bytes of the last event of a stream, if the event is incomplete
 * @param lastEvent identifier of the last complete event of a stream
 * @param isRequestWritten whether the whole request had been written to the connection
 */
record ResponseProgress(
        ResponseFraming framing,
        long bodyBytes,
        int unfinishedEventBytes,
        Optional<String> lastEvent,
        boolean isRequestWritten) {}
