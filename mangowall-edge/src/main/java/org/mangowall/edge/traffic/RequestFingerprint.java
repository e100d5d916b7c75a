package org.mangowall.edge.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.zip.CRC32;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Computes the fingerprint that all repeats of a request share, whatever their identifiers and the hosts they use. */
final class RequestFingerprint {

    private static final String DIGEST = "SHA-256";
    /**
     * The network thread would stand still for a digest of megabytes: without its second compiler, the runtime digests
     * 70 MB in a second. A checksum of the rest is fast, and could only confuse requests of one workspace.
     */
    private static final int MAX_DIGESTED_BYTES = 1 << 16;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace the workspace of the request; empty on routes that need no API key
     * @param hostName the requested host name
     * @param body the whole body; its reader index stays as it is
     */
    static long of(String workspace, String hostName, HttpRequest head, ByteBuf body) {
        MessageDigest digest = newDigest();
        for (String field : List.of(workspace, hostName, head.method().name(), head.uri())) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            digest.update(
                    ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
            digest.update(bytes);
        }
        update(digest, body);
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static void update(MessageDigest digest, ByteBuf body) {
        int digested = Math.min(body.readableBytes(), MAX_DIGESTED_BYTES);
        for (ByteBuffer part : body.nioBuffers(body.readerIndex(), digested)) {
            digest.update(part);
        }
        int rest = body.readableBytes() - digested;
        if (rest == 0) {
            return;
        }
        CRC32 checksum = new CRC32();
        for (ByteBuffer part : body.nioBuffers(body.readerIndex() + digested, rest)) {
            checksum.update(part);
        }
        digest.update(ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
                .putInt(rest)
                .putLong(checksum.getValue())
                .flip());
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(DIGEST);
        } catch (NoSuchAlgorithmException missing) {
            throw new MangowallException(FailureCode.INTERNAL, "the Java runtime has no " + DIGEST, missing);
        }
    }
}
