package org.mangowall.standin.caller;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.standin.engine.DeterministicCompletion;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.plain.PlainServiceStandIn;

/** A call with a unique nonce and the response that it must get. */
final class Call {

    private static final String[] WORDS = {
        "candidate",
        "rescue",
        "tow",
        "depth",
        "whistle",
        "spinal",
        "board",
        "pulse",
        "shore",
        "verdict",
        "meter",
        "page"
    };
    private static final String PLAIN_PATH = "/certifications";

    private final LoadPlan plan;
    private final String nonce;
    private final String prompt;
    private int attempts;

    Call(LoadPlan plan, String nonce, RandomGenerator random) {
        this.plan = plan;
        this.nonce = nonce;
        this.prompt = buildPrompt(plan, nonce, random);
    }

    private static String buildPrompt(LoadPlan plan, String nonce, RandomGenerator random) {
        StringBuilder text = new StringBuilder("nonce=").append(nonce);
        for (int index = 1; index < plan.promptWords(); index++) {
            text.append(' ').append(WORDS[random.nextInt(WORDS.length)]);
        }
        return text.toString();
    }

    LoadPlan plan() {
        return plan;
    }

    String nonce() {
        return nonce;
    }

    int attempts() {
        return attempts;
    }

    /** Builds the request of the next attempt, sent to an address. */
    Request nextAttempt(String baseAddress) {
        attempts++;
        RequestBuilder builder =
                plan.kind() == ServiceKind.MODEL ? modelRequest(baseAddress) : plainRequest(baseAddress);
        builder.setHeader("x-workspace", plan.workspace());
        if (plan.keyed()) {
            builder.setHeader("idempotency-key", nonce);
        }
        return builder.build();
    }

    private RequestBuilder modelRequest(String baseAddress) {
        byte[] body = Json.write(Map.of(
                "model", plan.service(),
                "stream", plan.stream(),
                "max_tokens", plan.maximumTokens(),
                "messages", List.of(Map.of("role", "user", "content", prompt))));
        return new RequestBuilder("POST")
                .setUrl(baseAddress + "/v1/chat/completions")
                .setHeader("content-type", "application/json")
                .setBody(body);
    }

    private RequestBuilder plainRequest(String baseAddress) {
        String prefix = plan.direct() ? "" : "/services/" + plan.service();
        RequestBuilder builder = new RequestBuilder(plan.method()).setUrl(baseAddress + prefix + PLAIN_PATH);
        return plan.method().equals("GET") ? builder : builder.setBody(prompt);
    }

    /** Returns whether the text, or the joined text of a stream, is the complete response to this call. */
    boolean isExpectedResponse(String text) {
        return text.equals(expectedText());
    }

    private String expectedText() {
        if (plan.kind() == ServiceKind.MODEL) {
            return DeterministicCompletion.text(prompt, plan.maximumTokens());
        }
        return PlainServiceStandIn.echo(plan.method(), PLAIN_PATH, plan.method().equals("GET") ? "" : prompt);
    }
}
