package org.mangowall.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The injected faults of the platform; immutable, replaced on each change.
 *
 * @param outage whether every request fails
 * @param handlingDelayMillis the delay before each request is handled
 * @param writeResponsesToDrop how many of the next write responses are dropped after the write is applied
 */
record PlatformFaults(boolean outage, long handlingDelayMillis, int writeResponsesToDrop) {

    static PlatformFaults none() {
        return new PlatformFaults(false, 0, 0);
    }

    /** Returns a copy updated with the fields that are present in the document. */
    PlatformFaults with(JsonNode document) {
        return new PlatformFaults(
                document.path("outage").asBoolean(outage),
                document.path("slowness_millis").asLong(handlingDelayMillis),
                document.path("lose_write_answers").asInt(writeResponsesToDrop));
    }

    PlatformFaults withDroppedResponseConsumed() {
        return new PlatformFaults(outage, handlingDelayMillis, writeResponsesToDrop - 1);
    }
}
