package org.mangowall.edge.peer;

/**
 * The role of a host towards a peer.
 *
 * @param isRelay whether the sender forwards reports of other hosts
 * @param isNeeded whether the sender needs the connection itself, rather than only because the receiver needs it
 * @param wantsAllReports whether the receiver should send the sender the reports of the whole fleet
 */
record LinkRole(boolean isRelay, boolean isNeeded, boolean wantsAllReports) {

    /** The assumed role of a peer that has announced none. */
    static final LinkRole UNKNOWN = new LinkRole(true, false, false);
}
