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

/** Collects the response to one attempt, classifies it and reports the result; counts streamed tokens on arrival. */
final class ResponseCollector implements AsyncHandler<Void> {

    private static final int HTTP_OK = 200;
    private static final String NOT_RUN = "not-run";
    private static final String DONE = "data: [DONE]";

    private final Call call;
    private final String address;
    private final Consumer<AttemptResult> resultListener;
    private final LongAdder streamedTokens;
    private final long startedNanos = System.nanoTime();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String outcome = "";
    private String runner = "";
    private boolean isEventStream;
    private long firstByteNanos;

    ResponseCollector(Call call, String address, LongAdder streamedTokens, Consumer<AttemptResult> resultListener) {
        this.call = call;
        this.address = address;
        this.streamedTokens = streamedTokens;
        this.resultListener = resultListener;
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
            // Estimates tokens by server-sent events, each of which ends with two newlines.
            streamedTokens.add(countNewlines(bytes) / 2);
        }
        return State.CONTINUE;
    }

    private static int countNewlines(byte[] bytes) {
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
            finish(Verdict.CUT, "connection-lost");
            return;
        }
        boolean neverConnected = failure instanceof ConnectException;
        finish(
                neverConnected ? Verdict.NOT_RUN : Verdict.UNKNOWN,
                neverConnected ? "connect-failed" : "connection-lost");
    }

    @Override
    public Void onCompleted() {
        try {
            classify();
        } catch (MangowallException unreadable) {
            finish(Verdict.WRONG_BODY, "unreadable");
        }
        return null;
    }

    private void classify() {
        String text = body.toString(StandardCharsets.UTF_8);
        if (status != HTTP_OK) {
            finish(outcome.equals(NOT_RUN) ? Verdict.NOT_RUN : Verdict.UNKNOWN, failureCode());
            return;
        }
        if (isEventStream && !text.strip().endsWith(DONE)) {
            finish(Verdict.CUT, text.contains("event: error") ? "error-event" : "no-done");
            return;
        }
        boolean isExpected = call.isExpectedResponse(responseText(text));
        finish(isExpected ? Verdict.ANSWERED : Verdict.WRONG_BODY, isExpected ? "" : "wrong-body");
    }

    private String failureCode() {
        JsonNode problem = Json.read(body.toByteArray());
        return problem.path("code").asText(Integer.toString(status));
    }

    private String responseText(String text) {
        if (isEventStream) {
            return ChatStreamText.join(text);
        }
        if (call.plan().kind() == ServiceKind.MODEL) {
            return Json.read(body.toByteArray())
                    .at("/choices/0/message/content")
                    .asText();
        }
        return text;
    }

    private void finish(Verdict verdict, String code) {
        resultListener.accept(new AttemptResult(
                call, address, verdict, code, runner, firstByteNanos, System.nanoTime() - startedNanos));
    }
}
