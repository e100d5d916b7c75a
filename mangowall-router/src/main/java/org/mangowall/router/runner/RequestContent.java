package org.mangowall.router.runner;

import java.util.List;

import org.mangowall.protocol.HeaderField;

/**
 * The HTTP content of a request as it is sent to a runner.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the header fields to pass on, names in lower case
 * @param body the body; not copied, so callers must not modify it
 */
public record RequestContent(String method, String path, List<HeaderField> headers, byte[] body) {

    /** Makes an immutable copy of the header fields. */
    public RequestContent {
        headers = List.copyOf(headers);
    }
}
