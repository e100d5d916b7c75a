package org.mangowall.router.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;

/** Checks the bearer token of operators; reads its file for each request, so that a changed token applies at once. */
final class OperatorToken {

    private static final String SCHEME = "Bearer ";

    private final Optional<Path> file;

    OperatorToken(Optional<Path> file) {
        this.file = file;
    }

    /** Whether the header carries the token; true if no file is configured, false if it is empty or unreadable. */
    boolean isAuthorized(String authorization) {
        if (file.isEmpty()) {
            return true;
        }
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return false;
        }
        try {
            String expected = Files.readString(file.get()).strip();
            String presented = authorization.substring(SCHEME.length()).strip();
            return !expected.isEmpty()
                    && MessageDigest.isEqual(
                            expected.getBytes(StandardCharsets.UTF_8), presented.getBytes(StandardCharsets.UTF_8));
        } catch (IOException failure) {
            return false;
        }
    }
}
