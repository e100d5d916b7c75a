package org.mangowall.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The failures that are switched on; changed by replacing the whole.
 *
 * @param outage whether every call fails
 * @param slownessMillis how long each call waits before it is handled
 * @param loseWriteAnswers how many answers of the next writes are lost after the write took effect
 */
record PlatformSwitches(boolean outage, long slownessMillis, int loseWriteAnswers) {

    static PlatformSwitches allOff() {
        return new PlatformSwitches(false, 0, 0);
    }

    /** Takes over the fields that the document has. */
    PlatformSwitches with(JsonNode document) {
        return new PlatformSwitches(
                document.path("outage").asBoolean(outage),
                document.path("slowness_millis").asLong(slownessMillis),
                document.path("lose_write_answers").asInt(loseWriteAnswers));
    }

    PlatformSwitches withOneLostAnswerLess() {
        return new PlatformSwitches(outage, slownessMillis, loseWriteAnswers - 1);
    }
}
