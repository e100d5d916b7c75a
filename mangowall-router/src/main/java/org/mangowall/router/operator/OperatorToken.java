package org.mangowall.router.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/** The token that operators must show; read again for each call, so that a changed file counts at once. */
final class OperatorToken {

    private static final String SCHEME = "Bearer ";

    private final Optional<Path> file;

    OperatorToken(Optional<Path> file) {
        this.file = file;
    }

    /** Whether the header shows the token; a file that can't be read lets nobody in. */
    boolean allows(String authorization) {
        if (file.isEmpty()) {
            return true;
        }
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        try {
            String expected = Files.readString(file.get()).strip();
            String shown = authorization.substring(SCHEME.length()).strip();
            return !expected.isEmpty()
                    && MessageDigest.isEqual(
                            expected.getBytes(StandardCharsets.UTF_8), shown.getBytes(StandardCharsets.UTF_8));
        } catch (IOException failure) {
            return false;
        }
    }
}
