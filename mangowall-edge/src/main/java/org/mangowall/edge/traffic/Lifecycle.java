package org.mangowall.edge.traffic;

/** Whether the host takes requests. */
public final class Lifecycle {

    private boolean isLeaving;
    private boolean isRefusing;

    /** The host was told to end: others are told to go elsewhere, and requests are still taken. */
    public void leave() {
        isLeaving = true;
    }

    /** From now on new requests are turned away. */
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
