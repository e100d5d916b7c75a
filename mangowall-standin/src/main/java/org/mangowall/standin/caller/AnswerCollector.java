package org.mangowall.standin.caller;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.standin.http.Json;

/** Collects one answer, judges it and passes the end on; counts tokens while they stream. */
final class AnswerCollector implements AsyncHandler<Void> {

    private static final int HTTP_OK = 200;
    private static final String NOT_RUN = "not-run";
    private static final String DONE = "data: [DONE]";

    private final Call call;
    private final String address;
    private final Consumer<CallEnd> whenEnded;
    private final LongAdder streamedTokens;
    private final long startedNanos = System.nanoTime();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String outcome = "";
    private String runner = "";
    private boolean isEventStream;
    private long firstByteNanos;

    AnswerCollector(Call call, String address, LongAdder streamedTokens, Consumer<CallEnd> whenEnded) {
        this.call = call;
        this.address = address;
        this.streamedTokens = streamedTokens;
        this.whenEnded = whenEnded;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        outcome = headers.get("x-mangowall-outcome", "");
        runner = headers.get("x-mangowall-runner", "");
        isEventStream = headers.get("content-type", "").startsWith("text/event-stream");
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (firstByteNanos == 0 && bytes.length > 0) {
            firstByteNanos = System.nanoTime() - startedNanos;
        }
        body.writeBytes(bytes);
        if (isEventStream && status == HTTP_OK) {
            streamedTokens.add(countLineEnds(bytes) / 2);
        }
        return State.CONTINUE;
    }

    private static int countLineEnds(byte[] bytes) {
        int count = 0;
        for (byte value : bytes) {
            if (value == '\n') {
                count++;
            }
        }
        return count;
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (status != 0) {
            end(Verdict.CUT, "connection-lost");
            return;
        }
        boolean neverConnected = failure instanceof ConnectException;
        end(neverConnected ? Verdict.NOT_RUN : Verdict.UNKNOWN, neverConnected ? "connect-failed" : "connection-lost");
    }

    @Override
    public Void onCompleted() {
        try {
            judge();
        } catch (MangowallException unreadable) {
            end(Verdict.WRONG_BODY, "unreadable");
        }
        return null;
    }

    private void judge() {
        String text = body.toString(StandardCharsets.UTF_8);
        if (status != HTTP_OK) {
            end(outcome.equals(NOT_RUN) ? Verdict.NOT_RUN : Verdict.UNKNOWN, failureCode());
            return;
        }
        if (isEventStream && !text.strip().endsWith(DONE)) {
            end(Verdict.CUT, text.contains("event: error") ? "error-event" : "no-done");
            return;
        }
        boolean own = call.isOwnAnswer(answerText(text));
        end(own ? Verdict.ANSWERED : Verdict.WRONG_BODY, own ? "" : "wrong-body");
    }

    private String failureCode() {
        JsonNode problem = Json.read(body.toByteArray());
        return problem.path("code").asText(Integer.toString(status));
    }

    private String answerText(String text) {
        if (isEventStream) {
            return EventText.join(text);
        }
        if (call.plan().kind() == ServiceKind.MODEL) {
            return Json.read(body.toByteArray())
                    .at("/choices/0/message/content")
                    .asText();
        }
        return text;
    }

    private void end(Verdict verdict, String code) {
        whenEnded.accept(
                new CallEnd(call, address, verdict, code, runner, firstByteNanos, System.nanoTime() - startedNanos));
    }
}
