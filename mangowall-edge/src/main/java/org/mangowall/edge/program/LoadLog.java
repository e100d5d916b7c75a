package org.mangowall.edge.program;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonGenerator;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.WorkspaceDemand;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.overload.HeldPart;
import org.mangowall.edge.traffic.CallerConnections;
import org.mangowall.edge.traffic.DeferredWork;
import org.mangowall.edge.traffic.EdgeContext;

/** Writes the log line that tells each second how loaded the host is. */
final class LoadLog {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int LOGGED_WORKSPACES = 3;

    private final DecisionLog log;
    private final EdgeMetrics metrics;
    private final FleetLoad fleet;
    private final TrafficMeter traffic;

    LoadLog(DecisionLog log, EdgeMetrics metrics, FleetLoad fleet, TrafficMeter traffic) {
        this.log = log;
        this.metrics = metrics;
        this.fleet = fleet;
        this.traffic = traffic;
    }

    /** Writes the line, and the work that waits, the memory that is held and the open connections into the metrics. */
    void write(long loopDelayNanos, EdgeContext context, CallerConnections callers) {
        DeferredWork deferredWork = context.deferredWork();
        for (HeldPart part : HeldPart.values()) {
            metrics.recordHeldBytes(part.label(), context.heldMemory().heldBytes(part));
        }
        metrics.recordPausedCallers(context.bodyRoom().waiting());
        long activeRequests = callers.activeRequests();
        metrics.recordCallerConnections(activeRequests, callers.size() - activeRequests);
        metrics.recordDeferredWork(deferredWork.size(), deferredWork.delayNanos() / NANOS_PER_SECOND);
        log.write("load", line -> {
            line.writeNumberField("loopDelayMillis", TimeUnit.NANOSECONDS.toMillis(loopDelayNanos));
            line.writeNumberField("deferredMillis", TimeUnit.NANOSECONDS.toMillis(deferredWork.takeLongestWaitNanos()));
            line.writeNumberField("deferred", deferredWork.size());
            line.writeNumberField("activeRequests", activeRequests);
            line.writeNumberField("heldBodyBytes", context.heldMemory().heldBytes(HeldPart.REQUEST_BODIES));
            line.writeNumberField("pausedCallers", context.bodyRoom().waiting());
            line.writeNumberField("callerConnections", callers.size());
            line.writeNumberField("hosts", fleet.hostCount());
            writeTraffic(line, "caller", traffic.take(TrafficMeter.Endpoint.CALLER));
            writeTraffic(line, "runner", traffic.take(TrafficMeter.Endpoint.RUNNER));
            writeTraffic(line, "peer", traffic.take(TrafficMeter.Endpoint.PEER));
            writeLargestWorkspaces(line);
        });
    }

    private static void writeTraffic(JsonGenerator line, String endpoint, TrafficMeter.Traffic counted)
            throws IOException {
        line.writeNumberField(endpoint + "BytesReceived", counted.received());
        line.writeNumberField(endpoint + "BytesSent", counted.sent());
    }

    private void writeLargestWorkspaces(JsonGenerator line) throws IOException {
        line.writeArrayFieldStart("workspaces");
        for (WorkspaceDemand demand : fleet.largestWorkspaces(LOGGED_WORKSPACES, System.nanoTime())) {
            line.writeStartObject();
            line.writeStringField("workspace", demand.workspace());
            line.writeNumberField("usedTokens", Math.round(demand.usedTokens()));
            line.writeNumberField("turnedAwayTokens", Math.round(demand.turnedAwayTokens()));
            line.writeEndObject();
        }
        line.writeEndArray();
    }
}
