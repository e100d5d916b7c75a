package org.mangowall.router.runner;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * What the head of a runner's answer says of its body.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty when there is none
 * @param isDelimited whether a length or chunks delimit the body; otherwise it ends with its connection
 */
public record AnswerHead(int status, String contentType, boolean isDelimited) {

    private static final String EVENT_STREAM = "text/event-stream";

    static AnswerHead of(int status, HttpHeaders headers) {
        return new AnswerHead(
                status,
                headers.get(HttpHeaderNames.CONTENT_TYPE, ""),
                headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING));
    }

    /** Whether the body consists of server-sent events. */
    boolean isEventStream() {
        return contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }
}
