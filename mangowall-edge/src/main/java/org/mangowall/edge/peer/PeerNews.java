package org.mangowall.edge.peer;

import java.util.List;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

/** A message between hosts. */
sealed interface PeerNews {

    /**
     * The first message of a connection, and again when it is no longer true.
     *
     * @param sender who speaks
     * @param role what the sender is to the receiver
     * @param wantsParts whether it has just started and doesn't know what the runners keep
     * @param known the other hosts that it knows
     */
    record Hello(HostRecord sender, LinkRole role, boolean wantsParts, List<HostRecord> known) implements PeerNews {}

    /**
     * Reports of the sender and of hosts whose news it passes on.
     *
     * @param reports in the order in which they were made
     */
    record Bundle(List<HostReport> reports) implements PeerNews {}

    /**
     * What runners are believed to keep.
     *
     * @param kept one entry a runner
     */
    record Parts(List<LoadEvent> kept) implements PeerNews {}

    /**
     * What the sender knows of the store and the receiver doesn't.
     *
     * @param kind the kind of the objects
     * @param asOf the revision up to which the receiver knows the kind afterwards
     * @param objects what changed
     */
    record Objects(ObjectKind kind, long asOf, List<StoredObject> objects) implements PeerNews {}

    /** The receiver of messages is alive. */
    record Heard() implements PeerNews {}
}
