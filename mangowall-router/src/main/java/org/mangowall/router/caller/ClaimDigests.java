package org.mangowall.router.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** The digests by which claims know keys and contents. */
final class ClaimDigests {

    private static final int DIGEST_BYTES = 16;

    private ClaimDigests() {}

    /** The digest of workspace, service and key. */
    static String key(ParsedRequest request) {
        MessageDigest digest = sha256();
        update(digest, request.workspace().value());
        update(digest, request.service().name().value());
        update(digest, request.idempotencyKey().orElse(""));
        return text(digest);
    }

    /** The digest of method, path and body. */
    static String content(ParsedRequest request) {
        MessageDigest digest = sha256();
        update(digest, request.content().method());
        update(digest, request.content().path());
        digest.update(request.content().body());
        return text(digest);
    }

    private static void update(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static String text(MessageDigest digest) {
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
