package org.mangowall.kernel.failure;

/** What is certain about the side effects of a request when its answer ends. */
public enum RequestOutcome {
    /** No byte of the request reached a runner. */
    NOT_RUN("not-run"),
    /** The request may have run; nobody can tell. */
    UNKNOWN("unknown"),
    /** The runner's whole answer was passed on. */
    COMPLETE("complete");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /** The value of the outcome header that callers see. */
    public String text() {
        return text;
    }
}
