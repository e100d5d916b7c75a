package org.mangowall.platform.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformProvider;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.ConditionalWriter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HttpPlatformClientTest {

    private static final ObjectName OBJECT = new ObjectName("configuration", "inventory");

    private final AtomicInteger calls = new AtomicInteger();
    private HttpServer server;
    private PlatformClient client;
    private HttpHandler responder = exchange -> respond(exchange, 200, "");

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            calls.incrementAndGet();
            responder.handle(exchange);
        });
        server.start();
        client = open(server.getAddress().getPort());
    }

    @AfterEach
    void stop() {
        client.close();
        server.stop(0);
    }

    private static PlatformClient open(int port) {
        PlatformSettings settings = new PlatformSettings(
                URI.create("http://127.0.0.1:" + port + "/"), Duration.ofSeconds(5), Duration.ofSeconds(5));
        return PluginRegistry.load(PlatformProvider.class).find("http").open(settings);
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void respondWith(int status, String version, String body) {
        responder = exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("x-object-version", version);
            respond(exchange, status, body);
        };
    }

    private static FailureCode codeOf(CompletableFuture<?> call) {
        return ConditionalWriter.codeOf(assertThrows(CompletionException.class, call::join));
    }

    @Test
    void readsAnObjectWithItsVersion() {
        respondWith(200, "7", "content");
        VersionedObject object = client.read(OBJECT).join().orElseThrow();
        assertEquals(7, object.version());
        assertArrayEquals("content".getBytes(StandardCharsets.UTF_8), object.content());
    }

    @Test
    void missingAndUnchangedObjectsAreEmpty() {
        responder = exchange -> respond(exchange, 404, "");
        assertTrue(client.read(OBJECT).join().isEmpty());
        responder = exchange -> respond(exchange, 304, "");
        assertTrue(client.watch(OBJECT, 7, Duration.ofMillis(5)).join().isEmpty());
    }

    @Test
    void writesSendTheExpectedVersion() {
        responder = exchange -> {
            String expected = exchange.getRequestHeaders().getFirst("x-expected-version");
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("x-object-version", Long.toString(Long.parseLong(expected) + 1));
            respond(exchange, 200, "");
        };
        assertEquals(5, client.write(OBJECT, 4, new byte[] {1}).join());
    }

    @Test
    void statusesOfWritesAreMappedToFailureCodes() {
        respondWith(409, "9", "");
        assertEquals(FailureCode.PLATFORM_CONFLICT, codeOf(client.write(OBJECT, 4, new byte[1])));
        respondWith(413, "", "");
        assertEquals(FailureCode.PLATFORM_OBJECT_TOO_LARGE, codeOf(client.write(OBJECT, 4, new byte[1])));
        respondWith(429, "", "");
        assertEquals(FailureCode.PLATFORM_RATE_LIMITED, codeOf(client.write(OBJECT, 4, new byte[1])));
        respondWith(503, "", "");
        assertEquals(FailureCode.PLATFORM_UNAVAILABLE, codeOf(client.write(OBJECT, 4, new byte[1])));
        respondWith(500, "", "");
        assertEquals(FailureCode.PLATFORM_ANSWER_LOST, codeOf(client.write(OBJECT, 4, new byte[1])));
    }

    @Test
    void aWriteWithoutAResponseHasAnUnknownOutcomeAndIsNotRetried() {
        responder = HttpExchange::close;
        assertEquals(FailureCode.PLATFORM_ANSWER_LOST, codeOf(client.write(OBJECT, 4, new byte[1])));
        assertEquals(1, calls.get());
        assertEquals(FailureCode.PLATFORM_UNAVAILABLE, codeOf(client.read(OBJECT)));
    }

    @Test
    void aRefusedConnectionMeansThatNothingWasWritten() {
        int port = server.getAddress().getPort();
        server.stop(0);
        try (PlatformClient other = open(port)) {
            assertEquals(FailureCode.PLATFORM_UNAVAILABLE, codeOf(other.write(OBJECT, 0, new byte[1])));
        }
    }

    @Test
    void readsTheHostListAndAnnouncesAHost() {
        String json = "[{\"name\":\"router-1\",\"zone\":\"brest\",\"host\":\"127.0.0.1\","
                + "\"caller_port\":1,\"peer_port\":2,\"leaving\":true}]";
        HostEntry entry = new HostEntry("router-1", "brest", "127.0.0.1", 1, 2, true);
        responder = exchange -> respond(exchange, 200, json);
        assertEquals(List.of(entry), client.hosts().join());
        responder = exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            respond(exchange, ("[" + body + "]").equals(json) ? 200 : 400, "");
        };
        client.announce(entry).join();
        responder = exchange -> respond(exchange, 200, "{");
        assertEquals(FailureCode.PLATFORM_UNAVAILABLE, codeOf(client.hosts()));
    }
}
