package org.mangowall.http;

import io.netty.handler.codec.CorruptedFrameException;
import org.mangowall.kernel.http.ResponsePart;

/** A response doesn't follow the grammar of HTTP. */
public final class InvalidResponseException extends CorruptedFrameException {

    private static final long serialVersionUID = 1;

    private final ResponsePart part;

    InvalidResponseException(ResponsePart part, String description) {
        super(description);
        this.part = part;
    }

    /** Returns the first part that is invalid. */
    public ResponsePart part() {
        return part;
    }
}
