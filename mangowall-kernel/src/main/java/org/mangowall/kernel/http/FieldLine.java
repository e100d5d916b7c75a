package org.mangowall.kernel.http;

import java.nio.charset.StandardCharsets;

/** Checks a field line, without its end: field-name ":" OWS field-value OWS. A folded line is invalid. */
final class FieldLine {

    private static final byte[] CONTENT_LENGTH = "content-length".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] TRANSFER_ENCODING = "transfer-encoding".getBytes(StandardCharsets.US_ASCII);
    /** Longer than any valid value of a field that tells where the content ends. */
    private static final int MAX_KEPT = 64;

    private static final int LOWER_CASE = 0x20;

    private final StringBuilder value = new StringBuilder(MAX_KEPT);
    private int nameBytes;
    private boolean mayBeContentLength;
    private boolean mayBeTransferEncoding;
    private boolean isInValue;
    private boolean isValueKept;

    void begin() {
        value.setLength(0);
        nameBytes = 0;
        mayBeContentLength = true;
        mayBeTransferEncoding = true;
        isInValue = false;
        isValueKept = false;
    }

    /** Whether the line may end here. */
    boolean isComplete() {
        return isInValue;
    }

    boolean isInValue() {
        return isInValue;
    }

    /** Accepts bytes; returns the index of the first one that is no part of a field line. */
    int accept(byte[] bytes, int start, int end) {
        int index = start;
        while (index < end && !isInValue) {
            if (!acceptName(bytes[index])) {
                return index;
            }
            index += 1;
        }
        int valueStart = index;
        while (index < end && Characters.isText(bytes[index])) {
            index += 1;
        }
        if (isValueKept) {
            keep(bytes, valueStart, index);
        }
        return index;
    }

    private boolean acceptName(byte next) {
        if (next == ':') {
            isInValue = true;
            isValueKept = isFraming();
            return nameBytes > 0;
        }
        mayBeContentLength = mayBeContentLength && isNext(CONTENT_LENGTH, next);
        mayBeTransferEncoding = mayBeTransferEncoding && isNext(TRANSFER_ENCODING, next);
        nameBytes += 1;
        return Characters.isToken(next);
    }

    private boolean isNext(byte[] name, byte next) {
        return nameBytes < name.length && (next | LOWER_CASE) == name[nameBytes];
    }

    private void keep(byte[] bytes, int start, int end) {
        for (int index = start; index < end && value.length() < MAX_KEPT; index++) {
            value.append((char) (bytes[index] & 0xFF));
        }
    }

    private boolean isContentLength() {
        return mayBeContentLength && nameBytes == CONTENT_LENGTH.length;
    }

    boolean isTransferEncoding() {
        return mayBeTransferEncoding && nameBytes == TRANSFER_ENCODING.length;
    }

    /** Whether the field tells where the content ends. */
    boolean isFraming() {
        return isContentLength() || isTransferEncoding();
    }

    /** The value of a field that tells where the content ends; others aren't kept. */
    String framingValue() {
        return value.toString().strip();
    }
}
