package org.mangowall.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;

/**
 * The state of a host and its in-flight requests, as reported to other hosts.
 *
 * @param isReady whether it accepts requests
 * @param hasStore whether its last call to the platform's store succeeded
 * @param storeResponseAgeMillis the time since the store last responded to it
 * @param completeTo the position in the store up to which it knows each kind of object
 * @param record its identity; present if the events describe all of its in-flight requests
 * @param events the events since its last report, or those that describe all of its in-flight requests
 */
record HostState(
        boolean isReady,
        boolean hasStore,
        long storeResponseAgeMillis,
        Map<ObjectKind, StorePosition> completeTo,
        Optional<HostRecord> record,
        List<LoadEvent> events) {}
