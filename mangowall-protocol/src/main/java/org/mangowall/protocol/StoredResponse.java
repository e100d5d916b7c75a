package org.mangowall.protocol;

import java.util.List;

/**
 * A complete response, stored for repeated requests with the same idempotency key.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the body; not copied, and must not be modified
 */
public record StoredResponse(int status, List<HeaderField> headers, byte[] body) {

    /** Copies the header fields. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }
}
