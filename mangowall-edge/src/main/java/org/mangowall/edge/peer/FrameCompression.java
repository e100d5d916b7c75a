package org.mangowall.edge.peer;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Compresses messages between hosts: reports repeat the names of the same runners, workspaces and services. */
final class FrameCompression {

    private static final int BUFFER_BYTES = 16_384;

    private FrameCompression() {}

    /** Compresses bytes, preferring speed. */
    static byte[] compress(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream(plain.length / 2);
            byte[] buffer = new byte[Math.min(BUFFER_BYTES, plain.length)];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Decompresses bytes.
     *
     * @param maxBytes the greatest length of the result
     * @throws MangowallException with {@code FRAME_INVALID} if the bytes are malformed or the result is longer
     */
    static byte[] decompress(byte[] compressed, int maxBytes) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream plain = new ByteArrayOutputStream(compressed.length * 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                plain.write(buffer, 0, length);
                boolean isTruncated = length == 0 && !inflater.finished();
                if (isTruncated || plain.size() > maxBytes) {
                    throw new MangowallException(
                            FailureCode.FRAME_INVALID, "a compressed peer message is truncated or too long");
                }
            }
            return plain.toByteArray();
        } catch (DataFormatException malformed) {
            throw new MangowallException(
                    FailureCode.FRAME_INVALID, "a compressed peer message is malformed", malformed);
        } finally {
            inflater.end();
        }
    }
}
