package org.mangowall.kernel.http;

import java.nio.charset.StandardCharsets;

/** Checks a status line, without its end: HTTP/1.DIGIT SP 3DIGIT SP reason-phrase. */
final class StatusLine {

    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int MINOR_VERSION = VERSION.length;
    private static final int STATUS_CODE = MINOR_VERSION + 2;
    private static final int REASON_PHRASE = STATUS_CODE + 4;

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;

    private int position;
    private int minorVersion;
    private int status;

    void begin() {
        position = 0;
        status = 0;
    }

    /** Whether the line may end here; the space behind the status code is required. */
    boolean isComplete() {
        return position >= REASON_PHRASE;
    }

    ResponsePart part() {
        if (position < STATUS_CODE) {
            return ResponsePart.VERSION;
        }
        return position < REASON_PHRASE ? ResponsePart.STATUS_CODE : ResponsePart.REASON_PHRASE;
    }

    boolean accept(byte next) {
        if (position >= REASON_PHRASE) {
            return Characters.isText(next);
        }
        boolean isValid = isValidAt(position, next);
        if (isValid) {
            position += 1;
        }
        return isValid;
    }

    private boolean isValidAt(int index, byte next) {
        if (index < MINOR_VERSION) {
            return next == VERSION[index];
        }
        if (index == MINOR_VERSION) {
            minorVersion = next - '0';
            return Characters.isDigit(next);
        }
        if (index == MINOR_VERSION + 1) {
            return next == Characters.SPACE;
        }
        if (index < REASON_PHRASE - 1) {
            status = status * 10 + (next - '0');
            return Characters.isDigit(next);
        }
        return next == Characters.SPACE && isKnownStatus();
    }

    /** Whether the status is of a known class; no request asks for another protocol. */
    private boolean isKnownStatus() {
        return status >= MIN_STATUS && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
    }

    int minorVersion() {
        return minorVersion;
    }

    int status() {
        return status;
    }
}
