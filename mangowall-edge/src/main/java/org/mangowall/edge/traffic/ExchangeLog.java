package org.mangowall.edge.traffic;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import org.mangowall.edge.decision.Admission;
import org.mangowall.edge.decision.PlacementDecision;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.kernel.failure.FailureCode;

/** Writes the log events of a request; {@code docs/OPERATIONS.md} lists them. */
final class ExchangeLog {

    private static final int MAX_LOGGED_PARTS = 8;

    private final EdgeContext context;

    ExchangeLog(EdgeContext context) {
        this.context = context;
    }

    private static void writeRequest(JsonGenerator line, Exchange exchange) throws IOException {
        line.writeStringField("request", exchange.identifier());
        line.writeStringField("route", exchange.routeName());
        line.writeStringField("workspace", exchange.workspace().orElse(""));
    }

    private long configurationVersion() {
        return context.table().map(RouteTable::version).orElse(0L);
    }

    void placementRejected(Exchange exchange, PlacementDecision.Reject rejection) {
        context.log().write("turned-away", line -> {
            writeRequest(line, exchange);
            line.writeStringField("code", rejection.code().code());
            line.writeNumberField("predictedMillis", Math.round(rejection.predictedMillis()));
            writeAdmission(line, exchange, rejection.admission());
            line.writeNumberField("waitingMillis", Math.round(exchange.timing().waitingMillis()));
            line.writeNumberField("runners", context.fleet().runnerCount());
            line.writeNumberField("configuration", configurationVersion());
            line.writeNumberField("offers", exchange.offers());
        });
    }

    void hostBusy(Exchange exchange, double waitMillis) {
        context.log().write("turned-away", line -> {
            writeRequest(line, exchange);
            line.writeStringField("code", FailureCode.HOST_BUSY.code());
            line.writeNumberField("costTokens", exchange.costTokens());
            line.writeNumberField("waitingMillis", Math.round(waitMillis));
            line.writeNumberField("deferred", context.deferredWork().size());
            line.writeNumberField("configuration", configurationVersion());
        });
    }

    void notTakenOver(Exchange exchange, RunnerAttempt silent, PlacementDecision.Reject rejection) {
        context.log().write("not-taken-over", line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", silent.runner().identifier());
            line.writeStringField("code", rejection.code().code());
            line.writeNumberField("elapsedMillis", Math.round(exchange.timing().elapsedMillis()));
        });
    }

    void placed(Exchange exchange, PlacementDecision.Send decision) {
        context.log().write("placed", line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", decision.runner().identifier());
            line.writeStringField("softwareVersion", decision.runner().softwareVersion());
            writeResumption(line, exchange.stream());
            line.writeNumberField("predictedMillis", Math.round(decision.predictedMillis()));
            line.writeNumberField("pace", rounded(decision.pace()));
            writeAdmission(line, exchange, decision.admission());
            line.writeNumberField("unreadTokens", decision.prefillTokens());
            line.writeNumberField("waitedTokens", decision.waitedTokens());
            line.writeNumberField("waitingMillis", Math.round(exchange.timing().waitingMillis()));
            line.writeBooleanField("isReadApart", decision.isReadApart());
            line.writeNumberField("configuration", configurationVersion());
            line.writeNumberField("offers", exchange.offers());
        });
    }

    private static void writeAdmission(JsonGenerator line, Exchange exchange, Admission admission) throws IOException {
        line.writeNumberField("allowedMillis", Math.round(admission.allowedMillis()));
        line.writeNumberField("costTokens", exchange.costTokens());
        line.writeNumberField("shareLoad", rounded(admission.usage().ofRatedShare()));
        line.writeNumberField("currentShareLoad", rounded(admission.usage().ofCurrentShare()));
        line.writeNumberField("admittedFraction", rounded(admission.usage().admittedFraction()));
    }

    private static double rounded(double ratio) {
        return Math.round(ratio * 100) / 100.0;
    }

    private static void writeResumption(JsonGenerator line, StreamPosition stream) throws IOException {
        if (stream.lastEvent().isPresent()) {
            line.writeStringField("resumesAfter", stream.lastEvent().get());
            line.writeStringField("resumedRequest", stream.beginningRequest());
        }
    }

    void originUnknown(Exchange exchange) {
        context.log().write("turned-away", line -> {
            writeRequest(line, exchange);
            line.writeStringField("code", FailureCode.STREAM_VERSION_UNAVAILABLE.code());
            line.writeNumberField("runners", context.fleet().runnerCount());
            line.writeNumberField("configuration", configurationVersion());
            writeResumption(line, exchange.stream());
        });
    }

    void attemptFailed(Exchange exchange, String event, RunnerAttempt tried, String reason) {
        context.log().write(event, line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", tried.runner().identifier());
            line.writeStringField("reason", reason);
            line.writeStringField("fingerprint", Long.toHexString(exchange.fingerprint()));
            line.writeNumberField("runs", exchange.runs());
            line.writeNumberField("elapsedMillis", Math.round(exchange.timing().elapsedMillis()));
            writePromptParts(line, exchange.promptParts());
            writeResponse(line, tried.responseProgress());
        });
    }

    void moved(Exchange exchange, RunnerAttempt source, RunnerEntry target) {
        context.log().write("moved", line -> {
            writeRequest(line, exchange);
            line.writeStringField("from", source.runner().identifier());
            line.writeStringField("runner", target.identifier());
            line.writeNumberField("elapsedMillis", Math.round(exchange.timing().elapsedMillis()));
            writeResponse(line, source.responseProgress());
        });
    }

    void rateLimitChanged(Exchange exchange, RunnerAttempt source, Optional<Double> stated) {
        context.log().write("rate-limit", line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", source.runner().identifier());
            line.writeBooleanField("isLimited", stated.isPresent());
            line.writeNumberField("requestsPerSecond", stated.orElse(0.0));
            line.writeNumberField(
                    "running", context.fleet().runningAt(source.runner().identifier()));
        });
    }

    void runnerLeaves(Exchange exchange, RunnerAttempt source) {
        context.log().write("runner-leaves", line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", source.runner().identifier());
        });
    }

    void strayResponse(Exchange exchange, RunnerAttempt source, RunnerResponse response) {
        context.log().write("stray-response", line -> {
            writeRequest(line, exchange);
            line.writeStringField("runner", source.runner().identifier());
            line.writeNumberField("status", response.status());
            line.writeStringField("respondsTo", response.identifier().orElse(""));
        });
    }

    private static void writePromptParts(JsonGenerator line, List<PromptPart> parts) throws IOException {
        if (parts.isEmpty()) {
            return;
        }
        line.writeArrayFieldStart("promptParts");
        for (PromptPart part : parts.subList(0, Math.min(parts.size(), MAX_LOGGED_PARTS))) {
            line.writeString(Long.toHexString(part.identifier()));
        }
        line.writeEndArray();
    }

    void ended(Exchange exchange, String outcome) {
        context.log().write("ended", line -> {
            writeRequest(line, exchange);
            line.writeStringField("outcome", outcome);
            line.writeNumberField("runs", exchange.runs());
            line.writeNumberField(
                    "receivingMillis", Math.round(exchange.timing().receivingMillis()));
            line.writeNumberField("waitingMillis", Math.round(exchange.timing().waitingMillis()));
            line.writeNumberField("elapsedMillis", Math.round(exchange.timing().elapsedMillis()));
            writeResponse(line, exchange.lastResponse());
        });
    }

    private static void writeResponse(JsonGenerator line, Optional<ResponseProgress> progress) throws IOException {
        if (progress.isEmpty()) {
            return;
        }
        ResponseProgress response = progress.get();
        line.writeStringField("framing", response.framing().label());
        line.writeNumberField("bodyBytes", response.bodyBytes());
        line.writeNumberField("unfinishedEventBytes", response.unfinishedEventBytes());
        line.writeStringField("lastEvent", response.lastEvent().orElse(""));
        line.writeBooleanField("isRequestWritten", response.isRequestWritten());
    }
}
