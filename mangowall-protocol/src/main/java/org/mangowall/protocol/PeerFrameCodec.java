package org.mangowall.protocol;

import java.io.IOException;
import java.time.DateTimeException;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes frames: the number of the message type, the connection epoch, then the fields in order, all in
 * MessagePack. On a connection each frame is preceded by its length as a four-byte big-endian integer.
 */
public final class PeerFrameCodec {

    /** The size of the length field that precedes each frame. */
    public static final int LENGTH_BYTES = 4;

    /** The largest frame without its length field; a larger one closes the connection. */
    public static final int MAXIMUM_FRAME_BYTES = 12 * 1024 * 1024;

    /** The protocol version that {@link PeerMessage.Hello} carries. */
    public static final int PROTOCOL_VERSION = 1;

    private PeerFrameCodec() {}

    /**
     * Encodes a frame without its length field.
     *
     * @throws FrameException when it is larger than {@link #MAXIMUM_FRAME_BYTES}
     */
    public static byte[] encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(MessageType.of(frame.message()).number());
            packer.packLong(frame.connectionEpoch());
            new MessageEncoder(new ValueEncoder(packer)).write(frame.message());
            byte[] bytes = packer.toByteArray();
            if (bytes.length > MAXIMUM_FRAME_BYTES) {
                throw new FrameException("frame of " + bytes.length + " bytes is too long");
            }
            return bytes;
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "writing to memory failed", failure);
        }
    }

    /**
     * Decodes a frame without its length field.
     *
     * @throws FrameException unless the bytes are exactly one valid frame
     */
    public static PeerFrame decode(byte[] bytes) {
        try {
            ValueDecoder values = new ValueDecoder(bytes);
            MessageType type = MessageType.ofNumber(values.integer());
            long epoch = values.number();
            PeerMessage message = new MessageDecoder(values).read(type);
            values.expectEnd();
            return new PeerFrame(epoch, message);
        } catch (FrameException failure) {
            throw failure;
        } catch (MangowallException failure) {
            throw new FrameException("frame has a field with an invalid value", failure);
        } catch (IOException | MessagePackException | ArithmeticException | DateTimeException failure) {
            throw new FrameException("frame is malformed", failure);
        }
    }
}
