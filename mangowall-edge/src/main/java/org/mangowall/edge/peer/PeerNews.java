package org.mangowall.edge.peer;

import java.util.List;
import java.util.Map;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

/** A message between hosts. */
sealed interface PeerNews {

    /**
     * The first message of a connection.
     *
     * @param sender who speaks
     * @param wantsParts whether it has just started and doesn't know what the runners keep
     * @param known the other hosts that it knows
     */
    record Hello(HostRecord sender, boolean wantsParts, List<HostRecord> known) implements PeerNews {}

    /**
     * The sender's state, and what happened since its last message.
     *
     * @param isReady whether it takes requests
     * @param hasStore whether the platform's store answers it, as far as it knows
     * @param storeAnswerAgeMillis how long ago the store last answered it
     * @param completeTo up to which revision it knows each kind of object
     * @param events its work at runners
     */
    record Pulse(
            boolean isReady,
            boolean hasStore,
            long storeAnswerAgeMillis,
            Map<ObjectKind, Long> completeTo,
            List<LoadEvent> events)
            implements PeerNews {}

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
