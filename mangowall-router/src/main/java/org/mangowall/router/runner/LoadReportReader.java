package org.mangowall.router.runner;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.RunnerReport;

/** Reads the answer to one load request; empty if it is no load report. */
final class LoadReportReader implements AsyncHandler<Optional<RunnerReport>> {

    private static final ComponentLog LOG = ComponentLog.of("runner");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;
    /** A report has three numbers; the answer of a runner in trouble may have no end. */
    private static final int MAXIMUM_REPORT_BYTES = 4096;

    private final RunnerName runner;
    private final String identifier;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean isReport;

    LoadReportReader(RunnerName runner, String identifier) {
        this.runner = runner;
        this.identifier = identifier;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        isReport = status.getStatusCode() == STATUS_OK;
        return isReport ? State.CONTINUE : State.ABORT;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        String answered = headers.get(IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER, identifier);
        if (!answered.equals(identifier)) {
            LOG.warn("runner %s answered load request %s with that of %s", runner, identifier, answered);
            isReport = false;
        }
        return isReport ? State.CONTINUE : State.ABORT;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (body.size() + part.length() > MAXIMUM_REPORT_BYTES) {
            LOG.warn("runner %s answered a load request with more than %s bytes", runner, MAXIMUM_REPORT_BYTES);
            isReport = false;
            return State.ABORT;
        }
        body.writeBytes(part.getBodyPartBytes());
        return State.CONTINUE;
    }

    /** Without a report the next one is awaited. */
    @Override
    public void onThrowable(Throwable failure) {
        LOG.debug("no load report of runner %s: %s", runner, failure);
    }

    @Override
    public Optional<RunnerReport> onCompleted() {
        return isReport ? parse() : Optional.empty();
    }

    private Optional<RunnerReport> parse() {
        try {
            JsonNode report = MAPPER.readTree(body.toByteArray());
            if (!report.path("running").isIntegralNumber()) {
                return Optional.empty();
            }
            return Optional.of(new RunnerReport(
                    runner,
                    report.path("started_at_millis").asLong(),
                    Math.max(0, report.path("running").asInt()),
                    Math.max(0, report.path("completed").asLong())));
        } catch (IOException failure) {
            LOG.debug("the load report of runner %s is not readable: %s", runner, failure);
            return Optional.empty();
        }
    }
}
