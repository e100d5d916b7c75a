package org.mangowall.edge.overload;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class PathDelayTest {

    private static final long MILLI = 1_000_000L;

    private static final long ACKNOWLEDGE_MILLIS = 400;

    private final PathDelay delay = new PathDelay(ACKNOWLEDGE_MILLIS * MILLI);

    /** Both peers acknowledge at once; a message takes 3 ms there and back. */
    @BeforeEach
    void measureAtRest() {
        exchange("one", 1, 3, 0);
        exchange("two", 1, 3, 0);
    }

    private void exchange(String peer, long atMillis, long roundTripMillis, long heldMillis) {
        delay.sent(peer, atMillis * MILLI);
        delay.acknowledged(
                peer, atMillis * MILLI, heldMillis * MILLI, (atMillis + roundTripMillis + heldMillis) * MILLI);
    }

    @Test
    void aFullLinkDelaysAllMessages() {
        exchange("one", 100, 403, 200);
        exchange("two", 100, 503, 300);
        assertEquals(400, delay.delayMillis(950 * MILLI), 0.01);
    }

    @Test
    void aBusyPeerSaysNothingAboutThisHost() {
        exchange("one", 100, 403, 0);
        exchange("two", 100, 3, 390);
        assertEquals(0, delay.delayMillis(600 * MILLI), 0.01);
    }

    /** The delay is seen before the acknowledgements arrive, once they are later than peers hold them back. */
    @Test
    void missingAcknowledgementsCount() {
        delay.sent("one", 100 * MILLI);
        delay.sent("two", 100 * MILLI);
        delay.sent("two", 200 * MILLI);
        assertEquals(0, delay.delayMillis(450 * MILLI), 0.01);
        assertEquals(300 - 3, delay.delayMillis(800 * MILLI), 0.01);
    }

    /** A host that is cut off from its peers still reaches callers and runners. */
    @Test
    void lostPeersDontCount() {
        delay.sent("one", 100 * MILLI);
        delay.sent("two", 100 * MILLI);
        assertEquals(0, delay.delayMillis(2_600 * MILLI), 0.01);
    }

    @Test
    void onePeerIsNotEnough() {
        delay.forget("two");
        exchange("one", 100, 403, 0);
        assertEquals(0, delay.delayMillis(600 * MILLI), 0.01);
    }

    /** An acknowledgement of an earlier connection, or of a peer that states no time, measures nothing. */
    @Test
    void acknowledgementsOfOtherMessagesAreIgnored() {
        delay.sent("one", 100 * MILLI);
        delay.sent("two", 100 * MILLI);
        delay.acknowledged("one", 0, 0, 150 * MILLI);
        delay.acknowledged("two", 300 * MILLI, 0, 350 * MILLI);
        assertEquals(300 - 3, delay.delayMillis(800 * MILLI), 0.01);
    }
}
