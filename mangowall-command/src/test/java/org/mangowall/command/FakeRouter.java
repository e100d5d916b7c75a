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

/** The operator port of a router with switches for what may go wrong. */
final class FakeRouter implements AutoCloseable {

    private final String name;
    private final String zone;
    private final FakeStore store;
    private final HttpServer server;
    private Optional<FailureCode> failure = Optional.empty();
    private Optional<String> token = Optional.empty();
    private boolean losesNextWriteAnswer;
    private boolean losesWrites;
    private Optional<byte[]> rivalDocument = Optional.empty();
    private boolean lagsBehind;

    /** What the platform would keep, shared by the routers of a fleet. */
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

    void loseNextWriteAnswer() {
        losesNextWriteAnswer = true;
    }

    /** Answers that the outcome is not known and writes nothing, until told otherwise. */
    void loseWrites(boolean loses) {
        losesWrites = loses;
    }

    /** Lets another operator write just before the next write comes in. */
    void rivalWritesFirst(byte[] document) {
        rivalDocument = Optional.of(document);
    }

    void lagBehind() {
        lagsBehind = true;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        String expected = token.map(value -> "Bearer " + value).orElse("");
        String shown = exchange.getRequestHeaders().getFirst("authorization");
        if (token.isPresent() && !expected.equals(shown)) {
            problem(exchange, FailureCode.NOT_AUTHENTICATED);
            return;
        }
        if (failure.isPresent()) {
            problem(exchange, failure.get());
            return;
        }
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/mangowall/explain/")) {
            answer(
                    exchange,
                    200,
                    explanation(path.substring("/mangowall/explain/".length())).toJson());
            return;
        }
        switch (exchange.getRequestMethod() + " " + path) {
            case "GET /mangowall/status" -> answer(exchange, 200, status().toJson());
            case "GET /mangowall/configuration" -> read(exchange);
            case "PUT /mangowall/configuration" -> write(exchange);
            default -> problem(exchange, FailureCode.PATH_UNKNOWN);
        }
    }

    private void read(HttpExchange exchange) throws IOException {
        if (store.version == 0) {
            problem(exchange, FailureCode.PLATFORM_OBJECT_MISSING);
            return;
        }
        answer(exchange, 200, store.document);
    }

    private void write(HttpExchange exchange) throws IOException {
        long expected = Long.parseLong(exchange.getRequestHeaders().getFirst("x-expected-version"));
        byte[] content = exchange.getRequestBody().readAllBytes();
        rivalDocument.ifPresent(store::write);
        rivalDocument = Optional.empty();
        if (losesWrites) {
            problem(exchange, FailureCode.PLATFORM_ANSWER_LOST);
            return;
        }
        if (expected != store.version) {
            problem(exchange, FailureCode.PLATFORM_CONFLICT);
            return;
        }
        store.write(content);
        if (losesNextWriteAnswer) {
            losesNextWriteAnswer = false;
            problem(exchange, FailureCode.PLATFORM_ANSWER_LOST);
            return;
        }
        answer(exchange, 200, new byte[0]);
    }

    private RouterStatusDocument status() {
        long version = lagsBehind ? store.version - 1 : store.version;
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

    private void problem(HttpExchange exchange, FailureCode code) throws IOException {
        String body = "{\"code\":\"" + code.code() + "\",\"detail\":\"on purpose\"}";
        answer(exchange, code.httpStatus(), body.getBytes(StandardCharsets.UTF_8));
    }

    private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.getResponseHeaders().set("x-object-version", Long.toString(store.version));
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
