package org.mangowall.standin.caller;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.standin.engine.ModelAnswer;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.plain.PlainServiceStandIn;

/** One call with its nonce, and the answer that it must get. */
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
    private int tries;

    Call(LoadPlan plan, String nonce, RandomGenerator random) {
        this.plan = plan;
        this.nonce = nonce;
        this.prompt = makePrompt(plan, nonce, random);
    }

    private static String makePrompt(LoadPlan plan, String nonce, RandomGenerator random) {
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

    int tries() {
        return tries;
    }

    /** The next try of the call at an address. */
    Request nextTry(String baseAddress) {
        tries++;
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

    /** Whether the text, or the joined texts of a stream, is the whole answer to this call. */
    boolean isOwnAnswer(String text) {
        return text.equals(expectedText());
    }

    private String expectedText() {
        if (plan.kind() == ServiceKind.MODEL) {
            return ModelAnswer.text(prompt, plan.maximumTokens());
        }
        return PlainServiceStandIn.echo(plan.method(), PLAIN_PATH, plan.method().equals("GET") ? "" : prompt);
    }
}
