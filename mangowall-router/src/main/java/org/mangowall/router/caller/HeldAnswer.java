package org.mangowall.router.caller;

import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A small answer that is kept back until it is whole.
 *
 * <p>Its head can then say truly that it is complete, and a runner that fails in the middle leaves a typed failure in
 * place of a cut body.
 */
final class HeldAnswer {

    private static final long LARGEST_BODY_BYTES = 64 * 1024;
    private static final int LARGEST_PARTS = 1024;

    private final HttpResponse head;
    private final CompositeByteBuf body = Unpooled.compositeBuffer(LARGEST_PARTS);

    HeldAnswer(HttpResponse head) {
        this.head = head;
    }

    /** Whether an answer with this head is held: it has no body, or one whose length is known and small. */
    static boolean suits(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
            return true;
        }
        long length = HttpUtil.getContentLength(head, Long.MAX_VALUE);
        return length <= LARGEST_BODY_BYTES;
    }

    void add(byte[] bytes) {
        body.addComponent(true, Unpooled.wrappedBuffer(bytes));
    }

    /** The whole answer with one more header field. */
    FullHttpResponse whole(String name, String value) {
        FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(), body);
        response.headers().set(head.headers());
        response.headers().set(name, value);
        return response;
    }
}
