package org.mangowall.standin.platform;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.VersionedObject;
import org.mangowall.standin.http.HttpExchange;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.http.StandInServer;

/** Implements the platform protocol in memory; {@code PUT /control} injects faults. */
public final class PlatformStandIn implements AutoCloseable {

    private static final String OBJECTS_PREFIX = "/v1/objects/";
    private static final String HOSTS_PATH = "/v1/hosts";
    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    private final PlatformStandInSettings settings;
    private final EventLoop eventLoop;
    private final ObjectStore store = new ObjectStore();
    private final HostList hosts;
    private final TokenBucket readLimit;
    private final TokenBucket writeLimit;
    private final CallCounts counts = new CallCounts();
    private final StandInServer server;
    private PlatformFaults faults = PlatformFaults.none();

    private PlatformStandIn(PlatformStandInSettings settings, EventLoop eventLoop, Clock clock) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.hosts = new HostList(clock, settings.hostLag(), settings.hostExpiry());
        this.readLimit = new TokenBucket(clock, settings.readsPerSecond());
        this.writeLimit = new TokenBucket(clock, settings.writesPerSecond());
        this.server =
                StandInServer.start(eventLoop, new InetSocketAddress(settings.host(), settings.port()), this::handle);
    }

    /** Starts a platform whose state and connections are confined to the given event loop. */
    public static PlatformStandIn start(PlatformStandInSettings settings, EventLoop eventLoop, Clock clock) {
        return new PlatformStandIn(settings, eventLoop, clock);
    }

    /** Returns the TCP port on which the platform listens. */
    public int port() {
        return server.port();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/control")) {
            handleControl(exchange);
            return;
        }
        if (faults.handlingDelayMillis() > 0) {
            eventLoop.schedule(() -> handleDelayed(exchange), faults.handlingDelayMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        handlePlatformRequest(exchange);
    }

    private void handleDelayed(HttpExchange exchange) {
        try {
            handlePlatformRequest(exchange);
        } catch (MangowallException failure) {
            exchange.respondText(failure.failureCode().httpStatus(), failure.getMessage());
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("PUT")) {
            faults = faults.with(Json.read(exchange.body()));
        }
        exchange.respondJson(
                200,
                Map.of(
                        "calls", counts.toMap(),
                        "outage", faults.outage(),
                        "slowness_millis", faults.handlingDelayMillis(),
                        "lose_write_answers", faults.writeResponsesToDrop()));
    }

    private void handlePlatformRequest(HttpExchange exchange) {
        if (faults.outage()) {
            counts.add(CallCounts.Kind.REFUSED_BY_OUTAGE);
            exchange.respondText(503, "the platform is down");
            return;
        }
        boolean isWrite = exchange.method().equals("PUT");
        TokenBucket bucket = isWrite ? writeLimit : readLimit;
        if (!bucket.tryAcquire()) {
            counts.add(CallCounts.Kind.REFUSED_BY_RATE);
            exchange.respond(429, Map.of("retry-after", "1"), new byte[0]);
            return;
        }
        if (exchange.path().startsWith(OBJECTS_PREFIX)) {
            handleObject(exchange, objectName(exchange.path()), isWrite);
            return;
        }
        if (exchange.path().startsWith(HOSTS_PATH)) {
            handleHosts(exchange, isWrite);
            return;
        }
        throw new MangowallException(FailureCode.PATH_UNKNOWN, "no such path");
    }

    private void handleObject(HttpExchange exchange, ObjectName name, boolean isWrite) {
        if (isWrite) {
            writeObject(exchange, name);
            return;
        }
        if (exchange.queryParameter("after").isPresent()) {
            watchObject(exchange, name);
            return;
        }
        counts.add(CallCounts.Kind.READ);
        store.read(name)
                .ifPresentOrElse(
                        object -> respondObject(exchange, object), () -> exchange.respondText(404, "no object"));
    }

    private void writeObject(HttpExchange exchange, ObjectName name) {
        if (exchange.body().length > settings.maximumObjectBytes()) {
            exchange.respondText(413, "the object is too large");
            return;
        }
        long expectedVersion =
                parseNumber(exchange.header(EXPECTED_VERSION_HEADER).orElse(""));
        counts.add(CallCounts.Kind.WRITE);
        if (!store.write(name, expectedVersion, exchange.body())) {
            counts.add(CallCounts.Kind.CONFLICT);
            exchange.respond(409, Map.of(VERSION_HEADER, Long.toString(store.version(name))), new byte[0]);
            return;
        }
        if (faults.writeResponsesToDrop() > 0) {
            faults = faults.withDroppedResponseConsumed();
            counts.add(CallCounts.Kind.LOST_ANSWER);
            exchange.abort();
            return;
        }
        exchange.respond(200, Map.of(VERSION_HEADER, Long.toString(expectedVersion + 1)), new byte[0]);
    }

    private void watchObject(HttpExchange exchange, ObjectName name) {
        counts.add(CallCounts.Kind.WATCH);
        long knownVersion = parseNumber(exchange.queryParameter("after").orElse(""));
        long waitMillis = parseNumber(exchange.queryParameter("wait-millis").orElse("0"));
        if (store.version(name) > knownVersion) {
            store.read(name).ifPresent(object -> respondObject(exchange, object));
            return;
        }
        new Watch(exchange, name, knownVersion).begin(Math.min(waitMillis, MAXIMUM_WAIT_MILLIS));
    }

    private void handleHosts(HttpExchange exchange, boolean isWrite) {
        if (!isWrite) {
            counts.add(CallCounts.Kind.HOST_LIST);
            exchange.respondJson(200, hosts.list());
            return;
        }
        counts.add(CallCounts.Kind.ANNOUNCEMENT);
        hosts.announce(Json.read(exchange.body(), HostDocument.class));
        exchange.respondText(200, "");
    }

    private static void respondObject(HttpExchange exchange, VersionedObject object) {
        exchange.respond(200, Map.of(VERSION_HEADER, Long.toString(object.version())), object.content());
    }

    private static ObjectName objectName(String path) {
        String[] parts = path.substring(OBJECTS_PREFIX.length()).split("/", 2);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "an object needs a kind and a name");
        }
        return new ObjectName(parts[0], parts[1]);
    }

    private static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new MangowallException(FailureCode.MALFORMED_REQUEST, "a number is needed, not '" + text + "'");
        }
    }

    @Override
    public void close() {
        server.close();
    }

    /** A pending watch, which completes with a newer version or, after its wait time, with status 304 or 503. */
    private final class Watch implements Consumer<VersionedObject> {

        private final HttpExchange exchange;
        private final ObjectName name;
        private final long knownVersion;
        private boolean finished;

        Watch(HttpExchange exchange, ObjectName name, long knownVersion) {
            this.exchange = exchange;
            this.name = name;
            this.knownVersion = knownVersion;
        }

        void begin(long waitMillis) {
            store.watch(name, this);
            eventLoop.schedule(this::expire, waitMillis, TimeUnit.MILLISECONDS);
            exchange.onClose(this::cancel);
        }

        @Override
        public void accept(VersionedObject object) {
            if (finished) {
                return;
            }
            if (object.version() <= knownVersion) {
                store.watch(name, this);
                return;
            }
            finished = true;
            respondObject(exchange, object);
        }

        private void expire() {
            if (finished) {
                return;
            }
            cancel();
            if (faults.outage()) {
                exchange.respondText(503, "the platform is down");
                return;
            }
            exchange.respond(304, Map.of(VERSION_HEADER, Long.toString(knownVersion)), new byte[0]);
        }

        private void cancel() {
            finished = true;
            store.unwatch(name, this);
        }
    }
}
