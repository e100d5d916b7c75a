package org.mangowall.edge.traffic;

/** The shutdown state of the host. */
public final class Lifecycle {

    private boolean isLeaving;
    private boolean isRefusing;

    /** Starts the shutdown: callers and hosts are told to use other hosts, while requests are still accepted. */
    public void leave() {
        isLeaving = true;
    }

    /** Refuses all further requests. */
    public void refuseNew() {
        isRefusing = true;
    }

    public boolean isLeaving() {
        return isLeaving;
    }

    public boolean isRefusing() {
        return isRefusing;
    }
}
