package org.mangowall.standin.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.mangowall.http.StrictHttpClients;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.standin.caller.ChatStreamText;
import org.mangowall.standin.http.Json;

/** Sends the calls of the demo and prints each with its response. */
final class DemoCalls implements AutoCloseable {

    private final AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config()
            .setRequestTimeout(Duration.ofSeconds(60))
            .setHttpAdditionalChannelInitializer(StrictHttpClients::readStrictly));
    private final PrintStream out;

    DemoCalls(PrintStream out) {
        this.out = out;
    }

    /** Sends one call of each kind to each address; returns whether all got a complete response. */
    boolean run(List<String> addresses, List<String> workspaces) {
        boolean allComplete = true;
        for (int index = 0; index < addresses.size(); index++) {
            String address = addresses.get(index);
            String workspace = workspaces.get(index % workspaces.size());
            allComplete &= sendAndPrint("whole model answer", modelCall(address, workspace, false));
            allComplete &= sendAndPrint("streamed model answer", modelCall(address, workspace, true));
            allComplete &= sendAndPrint("plain POST", plainCall("POST", address, workspace));
            allComplete &= sendAndPrint("plain GET", plainCall("GET", address, workspace));
        }
        return allComplete;
    }

    private static Request modelCall(String address, String workspace, boolean stream) {
        String body = "{\"model\":\"moniteur\",\"stream\":" + stream
                + ",\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"a debrief for " + workspace
                + " please\"}]}";
        return new RequestBuilder("POST")
                .setUrl(address + "/v1/chat/completions")
                .setHeader("x-workspace", workspace)
                .setHeader("content-type", "application/json")
                .setBody(body)
                .build();
    }

    private static Request plainCall(String method, String address, String workspace) {
        RequestBuilder builder = new RequestBuilder(method)
                .setUrl(address + "/services/registre/certifications/7")
                .setHeader("x-workspace", workspace);
        if (method.equals("POST")) {
            builder.setBody("candidate 7 of " + workspace + " passed");
        }
        return builder.build();
    }

    private boolean sendAndPrint(String title, Request request) {
        Response response = send(request);
        String outcome = String.valueOf(response.getHeader("x-mangowall-outcome"));
        out.printf(
                "%-22s %s  %s from runner %s, request %s%n",
                title,
                request.getUri().getAuthority(),
                response.getStatusCode(),
                response.getHeader("x-mangowall-runner"),
                response.getHeader("x-mangowall-request"));
        out.println("    " + responseText(response));
        return response.getStatusCode() == 200 && !outcome.equals("unknown");
    }

    private Response send(Request request) {
        try {
            return client.executeRequest(request).get();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new MangowallException(FailureCode.CALLER_GONE, "the demo was interrupted", interruption);
        } catch (ExecutionException failure) {
            throw new MangowallException(FailureCode.RUNNER_CONNECTION_LOST, "call failed: " + failure, failure);
        }
    }

    private static String responseText(Response response) {
        String body = response.getResponseBody(StandardCharsets.UTF_8);
        if (String.valueOf(response.getContentType()).startsWith("text/event-stream")) {
            return ChatStreamText.join(body);
        }
        if (String.valueOf(response.getContentType()).startsWith("application/json")) {
            JsonNode document = Json.read(body.getBytes(StandardCharsets.UTF_8));
            return document.at("/choices/0/message/content").asText(body);
        }
        return body.replace("\n", " | ");
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
