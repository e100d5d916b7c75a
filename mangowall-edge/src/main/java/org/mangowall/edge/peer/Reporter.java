package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.mirror.StoreAvailability;
import org.mangowall.edge.mirror.StoreMirror;
import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;

/** Makes the reports of this host. */
final class Reporter {

    /** How often all of this host's work is told, to repair what was lost on the way. */
    private static final long RESTATE_NANOS = 2_000_000_000L;

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final StoreAvailability contact;
    private final BooleanSupplier isReady;
    private List<LoadEvent> pending = new ArrayList<>();
    private long sequence;
    private long restatedAt;

    Reporter(HostRecord self, FleetLoad fleet, StoreMirror mirror, StoreAvailability contact, BooleanSupplier isReady) {
        this.self = self;
        this.fleet = fleet;
        this.mirror = mirror;
        this.contact = contact;
        this.isReady = isReady;
    }

    void note(LoadEvent event) {
        pending.add(event);
    }

    boolean hasNews() {
        return !pending.isEmpty();
    }

    /** What happened since the last time, and now and then all work. */
    List<HostReport> next(long now) {
        List<HostReport> reports = new ArrayList<>();
        reports.add(report(Optional.empty(), pending, now));
        pending = new ArrayList<>();
        if (now - restatedAt >= RESTATE_NANOS) {
            restatedAt = now;
            reports.add(whole(now));
        }
        return reports;
    }

    /** All work that has not ended. */
    HostReport whole(long now) {
        return report(Optional.of(self), fleet.ownWork(), now);
    }

    private HostReport report(Optional<HostRecord> record, List<LoadEvent> events, long now) {
        Map<ObjectKind, Long> completeTo = new EnumMap<>(ObjectKind.class);
        for (ObjectKind kind : ObjectKind.values()) {
            completeTo.put(kind, mirror.completeTo(kind));
        }
        HostState state = new HostState(
                isReady.getAsBoolean(),
                !contact.isLost(),
                TimeUnit.NANOSECONDS.toMillis(now - contact.lastOwnAnswerAt()),
                completeTo,
                record,
                events);
        sequence += 1;
        return new HostReport(self.name(), self.incarnation(), sequence, PeerCodec.encode(state));
    }
}
