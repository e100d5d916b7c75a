package org.mangowall.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.protocol.operator.ExplanationDocument;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** Imitates the operator port of a router and injects failures on request. */
final class FakeRouter implements AutoCloseable {

    private final String name;
    private final String zone;
    private final FakeStore store;
    private final HttpServer server;
    private Optional<FailureCode> failure = Optional.empty();
    private Optional<String> token = Optional.empty();
    private boolean losesNextWriteResponse;
    private boolean rejectsWritesWithUnknownOutcome;
    private Optional<byte[]> concurrentDocument = Optional.empty();
    private boolean reportsPreviousVersion;

    /** The stored inventory, shared by all routers of a fleet. */
    static final class FakeStore {
        private long version;
        private byte[] document = new byte[0];

        void write(byte[] content) {
            version++;
            document = content.clone();
        }
    }

    FakeRouter(String name, String zone, FakeStore store) {
        this.name = name;
        this.zone = zone;
        this.store = store;
        try {
            this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void failWith(FailureCode code) {
        failure = Optional.of(code);
    }

    void requireToken(String value) {
        token = Optional.of(value);
    }

    void loseNextWriteResponse() {
        losesNextWriteResponse = true;
    }

    /** Sets whether writes are dropped and answered with an unknown outcome. */
    void rejectWritesWithUnknownOutcome(boolean rejects) {
        rejectsWritesWithUnknownOutcome = rejects;
    }

    /** Simulates another operator whose write takes effect just before the next write. */
    void writeConcurrentlyBeforeNextWrite(byte[] document) {
        concurrentDocument = Optional.of(document);
    }

    void reportPreviousVersion() {
        reportsPreviousVersion = true;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String expectedAuthorization = token.map(value -> "Bearer " + value).orElse("");
        String presentedAuthorization = exchange.getRequestHeaders().getFirst("authorization");
        if (token.isPresent() && !expectedAuthorization.equals(presentedAuthorization)) {
            sendProblem(exchange, FailureCode.NOT_AUTHENTICATED);
            return;
        }
        if (failure.isPresent()) {
            sendProblem(exchange, failure.get());
            return;
        }
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/mangowall/explain/")) {
            sendResponse(
                    exchange,
                    200,
                    explanation(path.substring("/mangowall/explain/".length())).toJson());
            return;
        }
        switch (exchange.getRequestMethod() + " " + path) {
            case "GET /mangowall/status" -> sendResponse(exchange, 200, status().toJson());
            case "GET /mangowall/configuration" -> handleRead(exchange);
            case "PUT /mangowall/configuration" -> handleWrite(exchange);
            default -> sendProblem(exchange, FailureCode.PATH_UNKNOWN);
        }
    }

    private void handleRead(HttpExchange exchange) throws IOException {
        if (store.version == 0) {
            sendProblem(exchange, FailureCode.PLATFORM_OBJECT_MISSING);
            return;
        }
        sendResponse(exchange, 200, store.document);
    }

    private void handleWrite(HttpExchange exchange) throws IOException {
        long expectedVersion = Long.parseLong(exchange.getRequestHeaders().getFirst("x-expected-version"));
        byte[] content = exchange.getRequestBody().readAllBytes();
        concurrentDocument.ifPresent(store::write);
        concurrentDocument = Optional.empty();
        if (rejectsWritesWithUnknownOutcome) {
            sendProblem(exchange, FailureCode.PLATFORM_ANSWER_LOST);
            return;
        }
        if (expectedVersion != store.version) {
            sendProblem(exchange, FailureCode.PLATFORM_CONFLICT);
            return;
        }
        store.write(content);
        if (losesNextWriteResponse) {
            losesNextWriteResponse = false;
            sendProblem(exchange, FailureCode.PLATFORM_ANSWER_LOST);
            return;
        }
        sendResponse(exchange, 200, new byte[0]);
    }

    private RouterStatusDocument status() {
        long version = reportsPreviousVersion ? store.version - 1 : store.version;
        return new RouterStatusDocument(
                name,
                zone,
                1,
                "alive",
                true,
                version,
                List.of(
                        new RouterStatusDocument.Member("router-1", "rennes", 1, "alive", "127.0.0.1:19101"),
                        new RouterStatusDocument.Member("router-9", "vannes", 1, "suspect", "127.0.0.1:19109")),
                List.of(new RouterStatusDocument.Runner("caisse-" + zone, "caisse", zone, 4, 1, 1, true)),
                List.of(new RouterStatusDocument.Service("caisse", 3, 2, 1.5, 12)),
                List.of(
                        new RouterStatusDocument.Share("caisse", "bureau-auray", 1, 2, 2, 30),
                        new RouterStatusDocument.Share("caisse", "papeterie-republique", 4, 0, 0, 30)));
    }

    private ExplanationDocument explanation(String request) {
        if (!request.startsWith(name)) {
            return new ExplanationDocument(request, List.of());
        }
        return new ExplanationDocument(
                request,
                List.of(
                        decision(1_000, "routed", "", "FREE_SLOTS"),
                        decision(1_002, "sent", "caisse-rennes", "LEAST_LOADED")));
    }

    private ExplanationDocument.Decision decision(long atMillis, String step, String runner, String reason) {
        return new ExplanationDocument.Decision(atMillis, name, step, "bureau-auray", "caisse", runner, reason);
    }

    private void sendProblem(HttpExchange exchange, FailureCode code) throws IOException {
        String body = "{\"code\":\"" + code.code() + "\",\"detail\":\"on purpose\"}";
        sendResponse(exchange, code.httpStatus(), body.getBytes(StandardCharsets.UTF_8));
    }

    private void sendResponse(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("x-object-version", Long.toString(store.version));
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
