package org.mangowall.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;

/**
 * The state of a host, and its work.
 *
 * @param isReady whether it takes requests
 * @param hasStore whether the platform's store answers it, as far as it knows
 * @param storeAnswerAgeMillis how long ago the store last answered it
 * @param completeTo up to which revision it knows each kind of object
 * @param record who it is; present when the events are all of its work that has not ended
 * @param events what happened since its last report, or all of its work
 */
record HostState(
        boolean isReady,
        boolean hasStore,
        long storeAnswerAgeMillis,
        Map<ObjectKind, Long> completeTo,
        Optional<HostRecord> record,
        List<LoadEvent> events) {}
