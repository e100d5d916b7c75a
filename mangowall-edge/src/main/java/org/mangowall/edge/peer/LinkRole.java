package org.mangowall.edge.peer;

/**
 * What one end of a connection is to the other.
 *
 * @param isRelay whether the sender passes on the news of others
 * @param isChosen whether the sender needs the connection, and doesn't only answer one that the receiver opened
 * @param wantsAll whether the sender takes the news of the whole fleet from the receiver
 */
record LinkRole(boolean isRelay, boolean isChosen, boolean wantsAll) {

    /** Before anything was told. */
    static final LinkRole UNKNOWN = new LinkRole(true, false, false);
}
