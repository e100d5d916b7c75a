package org.mangowall.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** HTTP client for tests of the stand-ins. */
public final class HttpProbe {

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String base;

    /** Sends requests to the given loopback port. */
    public HttpProbe(int port) {
        this.base = "http://127.0.0.1:" + port;
    }

    /** Sends a request and waits for the response. */
    public HttpResponse<String> call(String method, String target, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, target, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for the response. */
    public CompletableFuture<HttpResponse<String>> begin(String method, String target, String body, String... headers) {
        return client.sendAsync(request(method, target, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(String method, String target, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(base + target))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }
}
