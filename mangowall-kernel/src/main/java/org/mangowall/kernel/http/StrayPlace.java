package org.mangowall.kernel.http;

/** Where bytes of a runner were found that belong to no response. */
public enum StrayPlace {
    /** No request waited for a response. */
    BETWEEN_REQUESTS("between-requests"),
    /** Behind a complete response. */
    AFTER_RESPONSE("after-response"),
    /** A second status line in a head, a chunk size or trailers. */
    IN_HEAD("in-head"),
    /** A second response in a body. */
    IN_BODY("in-body");

    private final String label;

    StrayPlace(String label) {
        this.label = label;
    }

    /** The name in logs and metrics. */
    public String label() {
        return label;
    }
}
