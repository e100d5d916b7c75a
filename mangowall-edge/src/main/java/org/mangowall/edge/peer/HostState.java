package org.mangowall.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;

/**
 * The state of a host and its work at runners, as reported to other hosts.
 *
 * @param isReady whether it accepts requests
 * @param hasStore whether its last call to the platform's store succeeded
 * @param storeAnswerAgeMillis the time since the store last responded to it
 * @param completeTo the revision up to which it knows each kind of object
 * @param record its identity; present if the events describe all of its unfinished work
 * @param events the events since its last report, or one for each unfinished request
 */
record HostState(
        boolean isReady,
        boolean hasStore,
        long storeAnswerAgeMillis,
        Map<ObjectKind, Long> completeTo,
        Optional<HostRecord> record,
        List<LoadEvent> events) {}
