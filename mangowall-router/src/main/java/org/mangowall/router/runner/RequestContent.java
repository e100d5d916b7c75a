package org.mangowall.router.runner;

import java.util.List;

import org.mangowall.protocol.HeaderField;

/**
 * What a runner gets of a request.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the header fields to pass on, names in lower case
 * @param body the body; not copied, and not to be changed
 */
public record RequestContent(String method, String path, List<HeaderField> headers, byte[] body) {

    /** Copies the header fields. */
    public RequestContent {
        headers = List.copyOf(headers);
    }
}
