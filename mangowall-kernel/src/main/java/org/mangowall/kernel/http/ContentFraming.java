package org.mangowall.kernel.http;

import java.util.regex.Pattern;

/**
 * Determines where the content of a response ends.
 *
 * <p>At most one field may tell: one length, or one transfer coding, which must be {@code chunked} and in HTTP/1.1.
 */
final class ContentFraming {

    /** What delimits the content. */
    enum Delimiter {
        NO_CONTENT,
        LENGTH,
        CHUNKS,
        CONNECTION_END
    }

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final long NO_LENGTH = -1;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;
    private static final int FIRST_FINAL_STATUS = 200;

    private long length;
    private boolean isChunked;

    void begin() {
        length = NO_LENGTH;
        isChunked = false;
    }

    /** Adds a field that tells where the content ends; returns whether it is valid beside those before. */
    boolean add(FieldLine field) {
        boolean isFirst = length == NO_LENGTH && !isChunked;
        String value = field.framingValue();
        if (field.isTransferEncoding()) {
            isChunked = true;
            return isFirst && value.equalsIgnoreCase("chunked");
        }
        if (!isFirst || !LENGTH.matcher(value).matches()) {
            return false;
        }
        length = Long.parseLong(value);
        return true;
    }

    /** Whether the fields agree with the status line: a status that never has content must not announce any. */
    boolean isConsistent(StatusLine statusLine) {
        if (isChunked && statusLine.minorVersion() != 1) {
            return false;
        }
        boolean announcesNone = !isChunked && length <= 0;
        boolean neverHasContent = statusLine.status() < FIRST_FINAL_STATUS || statusLine.status() == NO_CONTENT_STATUS;
        return announcesNone || !neverHasContent;
    }

    /** Returns what delimits the content of the response to a request, which may have asked for the head only. */
    Delimiter delimiter(int status, boolean isHeadRequest) {
        boolean hasNoContent = isHeadRequest
                || status < FIRST_FINAL_STATUS
                || status == NO_CONTENT_STATUS
                || status == NOT_MODIFIED_STATUS
                || length == 0;
        if (hasNoContent) {
            return Delimiter.NO_CONTENT;
        }
        if (isChunked) {
            return Delimiter.CHUNKS;
        }
        return length == NO_LENGTH ? Delimiter.CONNECTION_END : Delimiter.LENGTH;
    }

    long length() {
        return length;
    }
}
