package org.mangowall.edge.traffic;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** What delimits the body of a response. */
enum ResponseFraming {
    CHUNKED("chunked"),
    CONTENT_LENGTH("content-length"),
    CONNECTION_END("connection-end");

    private final String label;

    ResponseFraming(String label) {
        this.label = label;
    }

    static ResponseFraming of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(head) ? CONTENT_LENGTH : CONNECTION_END;
    }

    /** The name in logs and metrics. */
    String label() {
        return label;
    }
}
