package org.mangowall.edge.overload;

/** The parts of the memory that a host holds for requests and their responses. */
public enum HeldPart {
    /** Bodies of callers' requests, from their first byte until no repeat can need them. */
    REQUEST_BODIES("request_bodies", 0.5),
    /** Responses of runners that are kept until they are complete. */
    BUFFERED_RESPONSES("buffered_responses", 0.25),
    /** What was written to callers and isn't sent yet. */
    UNSENT_OUTPUT("unsent_output", 0.25);

    private final String label;
    private final double share;

    HeldPart(String label, double share) {
        this.label = label;
        this.share = share;
    }

    /** The name in metrics. */
    public String label() {
        return label;
    }

    /** The part's share of the whole budget. */
    double share() {
        return share;
    }
}
