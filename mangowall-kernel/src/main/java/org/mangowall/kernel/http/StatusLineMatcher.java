package org.mangowall.kernel.http;

import java.nio.charset.StandardCharsets;

/** Recognizes status lines of HTTP in a sequence of bytes, wherever they begin. */
public final class StatusLineMatcher {

    /** A status line up to the end of its code; 0 stands for any digit, a space for any white space. */
    private static final byte[] PATTERN = "HTTP/0.0 000 ".getBytes(StandardCharsets.US_ASCII);

    private int matchedBytes;

    /** Reads the next byte; returns whether it completes the code of a status line. */
    public boolean isMatchedAt(byte next) {
        if (!isExpected(next, PATTERN[matchedBytes])) {
            // The first letter occurs nowhere else in the pattern, so a shorter match can only begin here.
            matchedBytes = isExpected(next, PATTERN[0]) ? 1 : 0;
            return false;
        }
        matchedBytes += 1;
        if (matchedBytes < PATTERN.length) {
            return false;
        }
        matchedBytes = 0;
        return true;
    }

    /** How many bytes of what may be a status line the bytes read so far end in. */
    public int matchedBytes() {
        return matchedBytes;
    }

    private static boolean isExpected(byte actual, byte pattern) {
        return switch (pattern) {
            case '0' -> actual >= '0' && actual <= '9';
            case ' ' -> actual == ' ' || actual == '\r' || actual == '\n';
            default -> Character.toUpperCase((char) actual) == pattern;
        };
    }
}
