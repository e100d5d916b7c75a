package org.mangowall.kernel.http;

import java.nio.charset.StandardCharsets;

/** The sets of bytes that RFC 9110 names. */
final class Characters {

    static final byte CARRIAGE_RETURN = '\r';
    static final byte LINE_FEED = '\n';
    static final byte SPACE = ' ';
    static final byte TAB = '\t';

    private static final int DELETE = 0x7F;
    private static final int BYTE_VALUES = 256;
    private static final boolean[] TOKEN = new boolean[BYTE_VALUES];
    private static final boolean[] TEXT = new boolean[BYTE_VALUES];

    static {
        String marks = "!#$%&'*+-.^_`|~";
        for (byte mark : marks.getBytes(StandardCharsets.US_ASCII)) {
            TOKEN[mark] = true;
        }
        for (int value = 0; value < BYTE_VALUES; value++) {
            boolean isLetter = value >= 'a' && value <= 'z' || value >= 'A' && value <= 'Z';
            TOKEN[value] |= isLetter || value >= '0' && value <= '9';
            TEXT[value] = value == TAB || value >= SPACE && value != DELETE;
        }
    }

    private Characters() {}

    /** Whether a byte may be part of a token, such as a field's name. */
    static boolean isToken(byte value) {
        return TOKEN[value & 0xFF];
    }

    /** Whether a byte may be part of a field's value: visible characters, spaces, tabs and bytes above ASCII. */
    static boolean isText(byte value) {
        return TEXT[value & 0xFF];
    }

    static boolean isWhitespace(byte value) {
        return value == SPACE || value == TAB;
    }

    static boolean isDigit(byte value) {
        return value >= '0' && value <= '9';
    }
}
