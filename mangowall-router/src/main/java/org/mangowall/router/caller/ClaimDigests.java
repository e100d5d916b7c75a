package org.mangowall.router.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Digests that identify the key and the content of a claimed request: the first 16 bytes of SHA-256, in hex. */
final class ClaimDigests {

    private static final int DIGEST_BYTES = 16;

    private ClaimDigests() {}

    /** Digests workspace, service and idempotency key. */
    static String keyDigest(ParsedRequest request) {
        MessageDigest digest = sha256();
        update(digest, request.workspace().value());
        update(digest, request.service().name().value());
        update(digest, request.idempotencyKey().orElse(""));
        return toHex(digest);
    }

    /** Digests method, path and body. */
    static String contentDigest(ParsedRequest request) {
        MessageDigest digest = sha256();
        update(digest, request.content().method());
        update(digest, request.content().path());
        digest.update(request.content().body());
        return toHex(digest);
    }

    private static void update(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static String toHex(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "SHA-256 is missing", failure);
        }
    }
}
