package org.mangowall.edge.peer;

import java.util.List;
import java.util.OptionalLong;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

/** A message of the peer protocol. */
sealed interface HostMessage {

    /**
     * The first message of a connection, sent again whenever the role changes.
     *
     * @param sender the sending host
     * @param role the role of the sender towards the receiver
     * @param wantsHandover whether the sender has just started and needs a handover
     * @param known the other hosts that the sender knows
     * @param version the version of the peer protocol that the sender speaks; 0 if it states none
     */
    record Hello(HostRecord sender, LinkRole role, boolean wantsHandover, List<HostRecord> known, int version)
            implements HostMessage {}

    /**
     * Reports of the sender and of hosts whose reports it forwards.
     *
     * @param reports the reports, oldest first
     * @param sentAt the sender's time of sending, which acknowledgements return; 0 if it states none
     */
    record Reports(List<HostReport> reports, long sentAt) implements HostMessage {}

    /**
     * What a host that has just started can't know: the prompt parts that runners have cached, where recent streams
     * began, which requests and prompt parts are in quarantine and which rate limits runners have stated.
     *
     * @param events the state as events, such as one {@code PartsCached} for each runner
     */
    record Handover(List<LoadEvent> events) implements HostMessage {}

    /**
     * Objects of the platform's store that the receiver lacks.
     *
     * @param kind the kind of the objects
     * @param after the position of the receiver, after which the objects changed
     * @param asOf the position up to which the receiver is complete for this kind after the update
     * @param objects the changed and deleted objects
     * @param fingerprint stated if deletions may be missing: the fingerprint of all objects of the sender, which a
     *     complete receiver shares
     */
    record StoreObjects(
            ObjectKind kind,
            StorePosition after,
            StorePosition asOf,
            List<StoredObject> objects,
            OptionalLong fingerprint)
            implements HostMessage {}

    /**
     * Asks for all objects of a kind, since the sender of this message has others than {@link StoreObjects} tell.
     *
     * @param kind the kind of the objects
     */
    record AllObjectsRequest(ObjectKind kind) implements HostMessage {}

    /**
     * Acknowledges that messages arrive on the connection.
     *
     * @param sentAt the time of sending of the last reports that arrived; 0 if none did
     * @param heldNanos for how long the acknowledgement was held back since they arrived
     */
    record Acknowledgement(long sentAt, long heldNanos) implements HostMessage {}
}
