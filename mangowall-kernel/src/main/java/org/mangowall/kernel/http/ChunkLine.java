package org.mangowall.kernel.http;

/**
 * Checks the line before a chunk's data, without its end: chunk-size *( ";" token [ "=" ( token / quoted-string ) ] ).
 *
 * <p>The blanks that RFC 9112 tolerates around the parts of an extension, but allows nobody to send, are invalid. So
 * are bytes above ASCII in a quoted string.
 */
final class ChunkLine {

    /** As many as the largest size has; leading zeros count. */
    private static final int MAX_DIGITS = 8;

    private static final int HEXADECIMAL = 16;

    private enum Place {
        SIZE,
        BEFORE_NAME,
        NAME,
        BEFORE_VALUE,
        TOKEN_VALUE,
        QUOTED_VALUE,
        QUOTED_PAIR,
        AFTER_QUOTED_VALUE
    }

    private Place place = Place.SIZE;
    private int digits;
    private long size;

    void begin() {
        place = Place.SIZE;
        digits = 0;
        size = 0;
    }

    /** Whether the line may end here. */
    boolean isComplete() {
        return switch (place) {
            case SIZE -> digits > 0 && size <= Integer.MAX_VALUE;
            case NAME, TOKEN_VALUE, AFTER_QUOTED_VALUE -> true;
            case BEFORE_NAME, BEFORE_VALUE, QUOTED_VALUE, QUOTED_PAIR -> false;
        };
    }

    ResponsePart part() {
        return place == Place.SIZE ? ResponsePart.CHUNK_SIZE : ResponsePart.CHUNK_EXTENSION;
    }

    long size() {
        return size;
    }

    boolean accept(byte next) {
        return switch (place) {
            case SIZE -> acceptSize(next);
            case BEFORE_NAME -> isMoved(Characters.isToken(next), Place.NAME);
            case NAME -> Characters.isToken(next) || isMoved(next == '=', Place.BEFORE_VALUE) || isNextExtension(next);
            case BEFORE_VALUE ->
                isMoved(next == '"', Place.QUOTED_VALUE) || isMoved(Characters.isToken(next), Place.TOKEN_VALUE);
            case TOKEN_VALUE -> Characters.isToken(next) || isNextExtension(next);
            case QUOTED_VALUE ->
                isMoved(next == '"', Place.AFTER_QUOTED_VALUE)
                        || isMoved(next == '\\', Place.QUOTED_PAIR)
                        || isAsciiText(next);
            case QUOTED_PAIR -> isMoved(isAsciiText(next), Place.QUOTED_VALUE);
            case AFTER_QUOTED_VALUE -> isNextExtension(next);
        };
    }

    private static boolean isAsciiText(byte next) {
        return next >= 0 && Characters.isText(next);
    }

    private boolean acceptSize(byte next) {
        int digit = Character.digit(next, HEXADECIMAL);
        if (digit >= 0) {
            digits += 1;
            size = size * HEXADECIMAL + digit;
            return digits <= MAX_DIGITS;
        }
        return digits > 0 && size <= Integer.MAX_VALUE && isNextExtension(next);
    }

    private boolean isNextExtension(byte next) {
        return isMoved(next == ';', Place.BEFORE_NAME);
    }

    private boolean isMoved(boolean isNext, Place following) {
        if (isNext) {
            place = following;
        }
        return isNext;
    }
}
