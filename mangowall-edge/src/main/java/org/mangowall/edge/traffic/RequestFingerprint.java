package org.mangowall.edge.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Computes the fingerprint that all repeats of a request share, whatever their identifiers and the hosts they use. */
final class RequestFingerprint {

    private static final String DIGEST = "SHA-256";

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
        for (ByteBuffer part : body.nioBuffers()) {
            digest.update(part);
        }
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(DIGEST);
        } catch (NoSuchAlgorithmException missing) {
            throw new MangowallException(FailureCode.INTERNAL, "the Java runtime has no " + DIGEST, missing);
        }
    }
}
