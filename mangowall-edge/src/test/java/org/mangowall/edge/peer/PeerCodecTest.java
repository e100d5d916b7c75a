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

    private static final HostRecord HOST = new HostRecord("h", 7, "10.0.0.1:1", "10.0.0.1:2", "a", 0.75);

    private static final List<PromptPart> PARTS = List.of(new PromptPart(-1, 5), new PromptPart(Long.MAX_VALUE, 0));

    private static void assertUnchanged(PeerNews news) {
        assertEquals(news, PeerCodec.decode(PeerCodec.encode(news)));
    }

    @Test
    void messagesAreReadAsTheyWereWritten() {
        assertUnchanged(new PeerNews.Heard());
        assertUnchanged(new PeerNews.Hello(HOST, new LinkRole(true, false, true), false, List.of(HOST, HOST)));
        assertUnchanged(new PeerNews.Parts(List.of(new LoadEvent.PartsCached("r", PARTS))));
    }

    @Test
    void reportsPassUnchanged() {
        HostReport report = new HostReport("h", 7, 8, new byte[] {1, 2, 3});
        PeerNews.Bundle read =
                (PeerNews.Bundle) PeerCodec.decode(PeerCodec.encode(new PeerNews.Bundle(List.of(report, report))));
        assertEquals(2, read.reports().size());
        HostReport last = read.reports().getLast();
        assertEquals("h", last.host());
        assertEquals(7, last.incarnation());
        assertEquals(8, last.sequence());
        assertArrayEquals(report.state(), last.state());
    }

    @Test
    void statesAreReadAsTheyWereWritten() {
        HostState state = new HostState(
                true,
                false,
                1_234,
                Map.of(
                        ObjectKind.CONFIGURATION, 1L,
                        ObjectKind.RUNNER, 2L,
                        ObjectKind.CLOSED_ZONE, 0L,
                        ObjectKind.HOST, Long.MAX_VALUE),
                Optional.of(HOST),
                List.of(
                        new LoadEvent.Sent(1, "r", Optional.of("w"), PARTS, 2, 3, 4),
                        new LoadEvent.Sent(2, "r", Optional.empty(), List.of(), 0, 0, 0),
                        new LoadEvent.AnswerBegun(1),
                        new LoadEvent.Ended(1),
                        new LoadEvent.Unreachable("r"),
                        new LoadEvent.PartsCached("r", PARTS)));
        assertEquals(state, PeerCodec.decodeState(PeerCodec.encode(state)));
        HostState change = new HostState(false, true, 0, state.completeTo(), Optional.empty(), List.of());
        assertEquals(change, PeerCodec.decodeState(PeerCodec.encode(change)));
        byte[] good = PeerCodec.encode(state);
        for (int length = 0; length < good.length; length++) {
            byte[] cut = Arrays.copyOf(good, length);
            MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decodeState(cut));
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
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
        byte[] good = PeerCodec.encode(new PeerNews.Hello(HOST, new LinkRole(false, true, false), true, List.of(HOST)));
        for (int length = 0; length < good.length; length++) {
            byte[] cut = Arrays.copyOf(good, length);
            MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decode(cut));
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
        assertThrows(MangowallException.class, () -> PeerCodec.decode(new byte[] {99}));
    }
}
