package org.mangowall.router.caller;

import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A small answer that is buffered until it is complete.
 *
 * <p>Its head can then state the outcome, and a runner that fails before the end of the body leads to a problem
 * document instead of a truncated body.
 */
final class BufferedAnswer {

    private static final long MAXIMUM_BODY_BYTES = 64 * 1024;
    private static final int MAXIMUM_BODY_PARTS = 1024;

    private final HttpResponse head;
    private final CompositeByteBuf body = Unpooled.compositeBuffer(MAXIMUM_BODY_PARTS);

    BufferedAnswer(HttpResponse head) {
        this.head = head;
    }

    /** Whether an answer with this head is buffered: it has no body, or one whose length is known and small. */
    static boolean accepts(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
            return true;
        }
        long length = HttpUtil.getContentLength(head, Long.MAX_VALUE);
        return length <= MAXIMUM_BODY_BYTES;
    }

    void add(byte[] bytes) {
        body.addComponent(true, Unpooled.wrappedBuffer(bytes));
    }

    /** The complete answer with one more header field. */
    FullHttpResponse toResponse(String name, String value) {
        FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(), body);
        response.headers().set(head.headers());
        response.headers().set(name, value);
        return response;
    }
}
