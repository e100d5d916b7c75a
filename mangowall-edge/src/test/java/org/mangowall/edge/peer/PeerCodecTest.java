package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.decision.CrashSuspect;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.decision.RunOutcome;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.StatedLoad;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerCodecTest {

    private static final HostRecord HOST = new HostRecord("h", 7, "10.0.0.1:1", "10.0.0.1:2", "a", 0.75);

    private static final StreamOrigin ORIGIN = new StreamOrigin("request-1", "engines", "v1");
    private static final List<PromptPart> PARTS = List.of(new PromptPart(-1, 5), new PromptPart(Long.MAX_VALUE, 0));

    private static void assertRoundTrip(HostMessage message) {
        assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)));
    }

    @Test
    void messagesRoundTrip() {
        assertRoundTrip(new HostMessage.Acknowledgement(12, 34));
        assertRoundTrip(new HostMessage.Hello(HOST, new LinkRole(true, false, true), false, List.of(HOST, HOST), 3));
        assertRoundTrip(new HostMessage.Handover(List.of(new LoadEvent.PartsCached("r", PARTS))));
    }

    @Test
    void reportsRoundTrip() {
        HostReport report = new HostReport("h", 7, 8, new byte[] {1, 2, 3});
        HostMessage.Reports decoded = (HostMessage.Reports)
                PeerCodec.decode(PeerCodec.encode(new HostMessage.Reports(List.of(report, report), 7)));
        assertEquals(2, decoded.reports().size());
        HostReport last = decoded.reports().getLast();
        assertEquals("h", last.host());
        assertEquals(7, last.incarnation());
        assertEquals(8, last.sequence());
        assertArrayEquals(report.state(), last.state());
    }

    @Test
    void statesRoundTrip() {
        HostState state = new HostState(
                true,
                false,
                1_234,
                Map.of(
                        ObjectKind.CONFIGURATION, new StorePosition(2, 1),
                        ObjectKind.RUNNER, new StorePosition(1, 2),
                        ObjectKind.CLOSED_ZONE, StorePosition.START,
                        ObjectKind.HOST, new StorePosition(Long.MAX_VALUE, Long.MAX_VALUE)),
                Optional.of(HOST),
                List.of(
                        new LoadEvent.Sent(1, "r", Optional.of("w"), PARTS, 2, 3, 4, Optional.of(ORIGIN)),
                        new LoadEvent.Sent(2, "r", Optional.empty(), List.of(), 0, 0, 0, Optional.empty()),
                        new LoadEvent.ResponseStarted(1),
                        new LoadEvent.LoadStated("r", new StatedLoad(3, 1, 8, 1.5)),
                        new LoadEvent.Ended(1, RunOutcome.COMPLETE, OptionalLong.empty()),
                        new LoadEvent.Ended(2, RunOutcome.LOST, OptionalLong.of(-5)),
                        new LoadEvent.Quarantined(new CrashSuspect.Part(-1), 5_000_000_000L),
                        new LoadEvent.Quarantined(new CrashSuspect.Request(Long.MIN_VALUE), 6_000_000_000L),
                        new LoadEvent.RateLimitStated("r", Optional.of(7.25), 8),
                        new LoadEvent.RateLimitStated("r", Optional.empty(), 0),
                        new LoadEvent.RunnerLeaving("r"),
                        new LoadEvent.Unreachable("r"),
                        new LoadEvent.PartsCached("r", PARTS),
                        new LoadEvent.StreamBegan(ORIGIN),
                        new LoadEvent.TurnedAway("w", 5)));
        assertEquals(state, PeerCodec.decodeState(PeerCodec.encode(state)));
        HostState change = new HostState(false, true, 0, state.completeTo(), Optional.empty(), List.of());
        assertEquals(change, PeerCodec.decodeState(PeerCodec.encode(change)));
        byte[] encoded = PeerCodec.encode(state);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decodeState(truncated));
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
    }

    @Test
    void objectsRoundTrip() {
        StorePosition after = new StorePosition(1, 500);
        StorePosition asOf = new StorePosition(2, 10);
        StoredObject object =
                new StoredObject(ObjectKind.RUNNER, "r", new StorePosition(2, 9), new byte[] {1, 2}, false);
        for (OptionalLong fingerprint : List.of(OptionalLong.empty(), OptionalLong.of(-7))) {
            HostMessage.StoreObjects update =
                    new HostMessage.StoreObjects(ObjectKind.RUNNER, after, asOf, List.of(object), fingerprint);
            assertObjects(update, (HostMessage.StoreObjects) PeerCodec.decode(PeerCodec.encode(update)));
        }
    }

    @Test
    void aRequestForAllObjectsRoundTrips() {
        HostMessage.AllObjectsRequest request = new HostMessage.AllObjectsRequest(ObjectKind.CLOSED_ZONE);
        assertEquals(request, PeerCodec.decode(PeerCodec.encode(request)));
    }

    private static void assertObjects(HostMessage.StoreObjects sent, HostMessage.StoreObjects decoded) {
        assertEquals(sent.after(), decoded.after());
        assertEquals(sent.asOf(), decoded.asOf());
        assertEquals(sent.fingerprint(), decoded.fingerprint());
        StoredObject object = sent.objects().getFirst();
        assertEquals(object.position(), decoded.objects().getFirst().position());
        assertEquals("r", decoded.objects().getFirst().name());
        assertArrayEquals(object.content(), decoded.objects().getFirst().content());
    }

    @Test
    void malformedMessagesAreRejected() {
        byte[] encoded =
                PeerCodec.encode(new HostMessage.Hello(HOST, new LinkRole(false, true, false), true, List.of(HOST), 1));
        int bytesOfVersion = 1;
        for (int length = 0; length < encoded.length - bytesOfVersion; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decode(truncated));
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
        assertThrows(MangowallException.class, () -> PeerCodec.decode(new byte[] {99}));
    }

    /** What a relay forwards ten times a second: reports that name the same runners, workspaces and services. */
    @Test
    void longReportsAreCompressed() {
        List<HostReport> reports = new ArrayList<>();
        long plainBytes = 0;
        for (int host = 0; host < 40; host++) {
            List<LoadEvent> events = new ArrayList<>();
            for (int number = 0; number < 6; number++) {
                StreamOrigin origin =
                        new StreamOrigin(Long.toHexString(host * 977L + number * 7919L), "moniteur", "v1");
                events.add(new LoadEvent.Sent(
                        number,
                        "i-" + Integer.toHexString(host % 45 * 0x9E3779B1),
                        Optional.of("workspace-" + host % 7),
                        List.of(new PromptPart(host * 0x9E3779B97F4A7C15L, 400)),
                        500,
                        900,
                        1_800,
                        Optional.of(origin)));
                events.add(new LoadEvent.ResponseStarted(number));
                events.add(new LoadEvent.Ended(number, RunOutcome.COMPLETE, OptionalLong.empty()));
            }
            HostState state = new HostState(
                    true, true, 100, Map.of(ObjectKind.RUNNER, new StorePosition(1, 5)), Optional.empty(), events);
            byte[] encoded = PeerCodec.encode(state);
            plainBytes += encoded.length;
            reports.add(new HostReport("edge-qc-est-a-" + host, 1_777_867_589_564L, 7, encoded));
        }
        byte[] message = PeerCodec.compress(PeerCodec.encode(new HostMessage.Reports(reports, 7)));
        assertTrue(message.length * 2 < plainBytes, message.length + " of " + plainBytes + " bytes");
        HostMessage.Reports decoded = (HostMessage.Reports) PeerCodec.decode(message);
        assertEquals(40, decoded.reports().size());
        assertArrayEquals(reports.getLast().state(), decoded.reports().getLast().state());
    }

    @Test
    void malformedCompressedMessagesAreRejected() {
        byte[] message = compressedReport(PeerCodec.MAX_MESSAGE_BYTES / 2);
        for (int length = 1; length < message.length; length += 97) {
            assertInvalid(Arrays.copyOf(message, length));
        }
        assertInvalid(compressedReport(PeerCodec.MAX_MESSAGE_BYTES + 1));
        byte[] damaged = message.clone();
        Arrays.fill(damaged, 1, 40, (byte) -1);
        assertInvalid(damaged);
    }

    private static byte[] compressedReport(int stateBytes) {
        HostReport report = new HostReport("h", 7, 8, new byte[stateBytes]);
        return PeerCodec.compress(PeerCodec.encode(new HostMessage.Reports(List.of(report), 7)));
    }

    /** A host of the version before states no version at the end of its hello. */
    @Test
    void aHelloWithoutAVersionIsOfVersionZero() {
        byte[] encoded =
                PeerCodec.encode(new HostMessage.Hello(HOST, new LinkRole(false, true, false), true, List.of(HOST), 1));
        HostMessage.Hello earlier = (HostMessage.Hello) PeerCodec.decode(Arrays.copyOf(encoded, encoded.length - 1));
        assertEquals(0, earlier.version());
        assertEquals(List.of(HOST), earlier.known());
    }

    private static void assertInvalid(byte[] message) {
        MangowallException failure = assertThrows(MangowallException.class, () -> PeerCodec.decode(message));
        assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
    }
}
