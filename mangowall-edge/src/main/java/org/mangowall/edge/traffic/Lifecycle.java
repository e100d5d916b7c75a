package org.mangowall.edge.traffic;

/** The shutdown state of the host. */
public final class Lifecycle {

    private boolean isLeaving;
    private boolean isRejecting;

    /** Starts the shutdown: callers and hosts are told to use other hosts, while requests are still accepted. */
    public void leave() {
        isLeaving = true;
    }

    /** Rejects all further requests. */
    public void rejectNew() {
        isRejecting = true;
    }

    public boolean isLeaving() {
        return isLeaving;
    }

    public boolean isRejecting() {
        return isRejecting;
    }
}
