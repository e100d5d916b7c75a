package org.mangowall.edge.peer;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PeerCodecTest {

    private static final HostRecord HOST = new HostRecord("h", 7, "10.0.0.1:1", "10.0.0.1:2", "a");

    private static void assertUnchanged(PeerNews news) {
        assertEquals(news, PeerCodec.decode(PeerCodec.encode(news)));
    }

    @Test
    void messagesAreReadAsTheyWereWritten() {
        assertUnchanged(new PeerNews.Heard());
        assertUnchanged(new PeerNews.Hello(HOST, true, List.of(HOST, HOST)));
        List<PromptPart> parts = List.of(new PromptPart(-1, 5), new PromptPart(Long.MAX_VALUE, 0));
        assertUnchanged(new PeerNews.Pulse(
                true,
                false,
                1_234,
                Map.of(
                        ObjectKind.CONFIGURATION, 1L,
                        ObjectKind.RUNNER, 2L,
                        ObjectKind.CLOSED_ZONE, 0L,
                        ObjectKind.HOST, Long.MAX_VALUE),
                List.of(
                        new LoadEvent.Sent(1, "r", Optional.of("w"), parts, 2, 3, 4),
                        new LoadEvent.Sent(2, "r", Optional.empty(), List.of(), 0, 0, 0),
                        new LoadEvent.Began(1),
                        new LoadEvent.Ended(1),
                        new LoadEvent.Unreachable("r"),
                        new LoadEvent.Kept("r", parts))));
    }

    @Test
    void objectsAreReadAsTheyWereWritten() {
        StoredObject object = new StoredObject(ObjectKind.RUNNER, "r", 9, new byte[] {1, 2}, false);
        PeerNews.Objects read = (PeerNews.Objects)
                PeerCodec.decode(PeerCodec.encode(new PeerNews.Objects(ObjectKind.RUNNER, 10, List.of(object))));
        assertEquals(10, read.asOf());
        assertEquals("r", read.objects().getFirst().name());
        assertArrayEquals(object.content(), read.objects().getFirst().content());
    }

    @Test
    void bytesThatAreNoMessageAreRefused() {
        byte[] good = PeerCodec.encode(new PeerNews.Hello(HOST, false, List.of(HOST)));
        for (int length = 0; length < good.length; length++) {
            byte[] cut = Arrays.copyOf(good, length);
            MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decode(cut));
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
        assertThrows(MangowallException.class, () -> PeerCodec.decode(new byte[] {99}));
    }
}
