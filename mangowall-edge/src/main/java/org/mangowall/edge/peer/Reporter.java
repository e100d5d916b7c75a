package org.mangowall.edge.peer;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
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
import org.mangowall.edge.wire.StorePosition;

/** Builds the reports of this host. */
final class Reporter {

    /** Interval between reports of all in-flight requests, which repair the effect of lost reports. */
    private static final long FULL_REPORT_INTERVAL_NANOS = 2_000_000_000L;

    private final HostRecord self;
    private final FleetLoad fleet;
    private final StoreMirror mirror;
    private final StoreAvailability storeAvailability;
    private final BooleanSupplier isReady;
    private List<LoadEvent> pendingEvents = new ArrayList<>();
    /** Summed up until the next report: a busy host turns requests of the same few workspaces away. */
    private final Map<String, Long> turnedAwayTokens = new HashMap<>();

    /** The last statement of each runner; earlier ones are outdated. */
    private final Map<String, LoadEvent.LoadStated> statedLoads = new HashMap<>();

    private long sequence;
    private long lastFullReportAt;

    Reporter(
            HostRecord self,
            FleetLoad fleet,
            StoreMirror mirror,
            StoreAvailability storeAvailability,
            BooleanSupplier isReady) {
        this.self = self;
        this.fleet = fleet;
        this.mirror = mirror;
        this.storeAvailability = storeAvailability;
        this.isReady = isReady;
    }

    void add(LoadEvent event) {
        switch (event) {
            case LoadEvent.TurnedAway turnedAway ->
                turnedAwayTokens.merge(turnedAway.workspace(), turnedAway.costTokens(), Long::sum);
            case LoadEvent.LoadStated stated -> statedLoads.put(stated.runner(), stated);
            default -> pendingEvents.add(event);
        }
    }

    boolean hasPendingEvents() {
        return !pendingEvents.isEmpty() || !turnedAwayTokens.isEmpty() || !statedLoads.isEmpty();
    }

    /** The events since the last call, followed by a full report when one is due. */
    List<HostReport> nextReports(long now) {
        turnedAwayTokens.forEach(
                (workspace, costTokens) -> pendingEvents.add(new LoadEvent.TurnedAway(workspace, costTokens)));
        turnedAwayTokens.clear();
        pendingEvents.addAll(statedLoads.values());
        statedLoads.clear();
        List<HostReport> reports = new ArrayList<>();
        reports.add(report(Optional.empty(), pendingEvents, now));
        pendingEvents = new ArrayList<>();
        if (now - lastFullReportAt >= FULL_REPORT_INTERVAL_NANOS) {
            lastFullReportAt = now;
            reports.add(fullReport(now));
        }
        return reports;
    }

    /**
     * A report of the identity of this host, all its in-flight requests, the streams that began lately, the quarantines
     * that it has begun and the rate limits that runners stated to it lately.
     */
    HostReport fullReport(long now) {
        List<LoadEvent> events = new ArrayList<>(fleet.ownInFlightRequests());
        events.addAll(fleet.ownRecentStreams(now));
        events.addAll(fleet.quarantine().own(now));
        events.addAll(fleet.rateLimits().recent(now));
        return report(Optional.of(self), events, now);
    }

    private HostReport report(Optional<HostRecord> record, List<LoadEvent> events, long now) {
        Map<ObjectKind, StorePosition> completeTo = new EnumMap<>(ObjectKind.class);
        for (ObjectKind kind : ObjectKind.values()) {
            completeTo.put(kind, mirror.completeTo(kind));
        }
        HostState state = new HostState(
                isReady.getAsBoolean(),
                !storeAvailability.hasLastCallFailed(),
                TimeUnit.NANOSECONDS.toMillis(now - storeAvailability.lastOwnResponseAt()),
                completeTo,
                record,
                events);
        sequence += 1;
        return new HostReport(self.name(), self.incarnation(), sequence, PeerCodec.encode(state));
    }
}
