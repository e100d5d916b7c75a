package org.mangowall.kernel.failure;

/** What is known about the side effects of a request when its response ends. */
public enum RequestOutcome {
    /** No byte of the request reached a runner. */
    NOT_RUN("not-run"),
    /** It is not known whether the request ran. */
    UNKNOWN("unknown"),
    /** The runner's complete response was forwarded. */
    COMPLETE("complete");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /** The value of the outcome header in responses to callers. */
    public String text() {
        return text;
    }
}
