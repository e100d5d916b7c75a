package org.mangowall.standin.caller;

import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.asynchttpclient.AsyncHttpClient;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.standin.http.Json;

/** Reads documents of routers and stand-ins; a failed request yields an empty string or a missing node. */
final class FleetClient {

    private final AsyncHttpClient client;

    FleetClient(AsyncHttpClient client) {
        this.client = client;
    }

    static String baseUrl(HostAndPort address) {
        return "http://" + address.host() + ":" + address.port();
    }

    CompletableFuture<String> getText(String address) {
        return client.prepareGet(address)
                .execute()
                .toCompletableFuture()
                .thenApply(response -> response.getResponseBody())
                .exceptionally(failure -> "");
    }

    CompletableFuture<JsonNode> getJson(String address) {
        return client.prepareGet(address)
                .execute()
                .toCompletableFuture()
                .thenApply(response -> Json.read(response.getResponseBodyAsBytes()))
                .exceptionally(failure -> MissingNode.getInstance());
    }
}
