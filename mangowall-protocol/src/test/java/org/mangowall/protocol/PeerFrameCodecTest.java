package org.mangowall.protocol;

import java.util.Arrays;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PeerFrameCodecTest {

    private static PeerFrame randomFrame(int messageType, long seed) throws ReflectiveOperationException {
        Class<?>[] messageTypes = PeerMessage.class.getPermittedSubclasses();
        PeerMessage message = (PeerMessage)
                new RandomValues(seed).next(messageTypes[Math.floorMod(messageType, messageTypes.length)]);
        return new PeerFrame(seed, message);
    }

    private static void decodeOrFailAsFrameInvalid(byte[] bytes) {
        try {
            PeerFrameCodec.decode(bytes);
        } catch (FrameException failure) {
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
    }

    @Test
    void everyMessageTypeIsDecodedWithAllItsFields() throws ReflectiveOperationException {
        int messageTypes = PeerMessage.class.getPermittedSubclasses().length;
        for (int round = 0; round < 50 * messageTypes; round++) {
            PeerFrame frame = randomFrame(round, round);
            PeerFrame decoded = PeerFrameCodec.decode(PeerFrameCodec.encode(frame));
            assertEquals(RandomValues.describe(frame), RandomValues.describe(decoded));
        }
    }

    @Test
    void everyMessageTypeHasItsOwnNumber() {
        assertEquals(PeerMessage.class.getPermittedSubclasses().length, MessageType.values().length);
        assertEquals(
                MessageType.values().length,
                Arrays.stream(MessageType.values())
                        .mapToInt(MessageType::number)
                        .distinct()
                        .count());
    }

    @Property(tries = 20_000, seed = "8123")
    void randomBytesAreAFrameOrFailAsFrameInvalid(@ForAll byte[] bytes) {
        decodeOrFailAsFrameInvalid(bytes);
    }

    @Property(tries = 20_000, seed = "4711")
    void corruptedFramesAreAFrameOrFailAsFrameInvalid(@ForAll int messageType, @ForAll long seed)
            throws ReflectiveOperationException {
        byte[] bytes = PeerFrameCodec.encode(randomFrame(messageType, seed));
        Random random = new Random(seed);
        for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
            bytes[random.nextInt(Math.min(bytes.length, 200))] = (byte) random.nextInt();
        }
        decodeOrFailAsFrameInvalid(bytes);
    }

    @Property(tries = 2_000, seed = "42")
    void truncatedAndPaddedFramesAreRefused(@ForAll int messageType, @ForAll long seed)
            throws ReflectiveOperationException {
        byte[] bytes = PeerFrameCodec.encode(randomFrame(messageType, seed));
        byte[] truncated = Arrays.copyOf(bytes, new Random(seed).nextInt(bytes.length));
        assertThrows(FrameException.class, () -> PeerFrameCodec.decode(truncated));
        byte[] padded = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(FrameException.class, () -> PeerFrameCodec.decode(padded));
    }

    @Test
    void framesBeyondTheMaximumSizeAreRefused() {
        byte[] body = new byte[PeerFrameCodec.MAXIMUM_FRAME_BYTES];
        PeerFrame frame = new PeerFrame(1, new PeerMessage.ConfigurationContent(1, body));
        assertThrows(FrameException.class, () -> PeerFrameCodec.encode(frame));
    }
}
