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

    private static PeerFrame randomFrame(int variant, long seed) throws ReflectiveOperationException {
        Class<?>[] variants = PeerMessage.class.getPermittedSubclasses();
        PeerMessage message =
                (PeerMessage) new RandomValues(seed).next(variants[Math.floorMod(variant, variants.length)]);
        return new PeerFrame(seed, message);
    }

    private static void decodeOrFailWithType(byte[] bytes) {
        try {
            PeerFrameCodec.decode(bytes);
        } catch (FrameException failure) {
            assertEquals(FailureCode.FRAME_INVALID, failure.failureCode());
        }
    }

    @Test
    void everyVariantComesBackWithEveryField() throws ReflectiveOperationException {
        int variants = PeerMessage.class.getPermittedSubclasses().length;
        for (int round = 0; round < 50 * variants; round++) {
            PeerFrame frame = randomFrame(round, round);
            PeerFrame back = PeerFrameCodec.decode(PeerFrameCodec.encode(frame));
            assertEquals(RandomValues.describe(frame), RandomValues.describe(back));
        }
    }

    @Test
    void everyVariantHasItsOwnNumber() {
        assertEquals(PeerMessage.class.getPermittedSubclasses().length, MessageType.values().length);
        assertEquals(
                MessageType.values().length,
                Arrays.stream(MessageType.values())
                        .mapToInt(MessageType::number)
                        .distinct()
                        .count());
    }

    @Property(tries = 20_000, seed = "8123")
    void randomBytesAreAFrameOrATypedFailure(@ForAll byte[] bytes) {
        decodeOrFailWithType(bytes);
    }

    @Property(tries = 20_000, seed = "4711")
    void damagedFramesAreAFrameOrATypedFailure(@ForAll int variant, @ForAll long seed)
            throws ReflectiveOperationException {
        byte[] bytes = PeerFrameCodec.encode(randomFrame(variant, seed));
        Random random = new Random(seed);
        for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
            bytes[random.nextInt(Math.min(bytes.length, 200))] = (byte) random.nextInt();
        }
        decodeOrFailWithType(bytes);
    }

    @Property(tries = 2_000, seed = "42")
    void cutAndPaddedFramesAreRefused(@ForAll int variant, @ForAll long seed) throws ReflectiveOperationException {
        byte[] bytes = PeerFrameCodec.encode(randomFrame(variant, seed));
        byte[] cut = Arrays.copyOf(bytes, new Random(seed).nextInt(bytes.length));
        assertThrows(FrameException.class, () -> PeerFrameCodec.decode(cut));
        byte[] padded = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(FrameException.class, () -> PeerFrameCodec.decode(padded));
    }

    @Test
    void framesBeyondTheBoundAreRefused() {
        byte[] body = new byte[PeerFrameCodec.MAXIMUM_FRAME_BYTES];
        PeerFrame frame = new PeerFrame(1, new PeerMessage.ConfigurationContent(1, body));
        assertThrows(FrameException.class, () -> PeerFrameCodec.encode(frame));
    }
}
