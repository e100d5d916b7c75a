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
import org.mangowall.standin.http.HttpCall;
import org.mangowall.standin.http.Json;
import org.mangowall.standin.http.StandInServer;

/** The platform's protocol over memory, with failures that can be switched on by {@code PUT /control}. */
public final class PlatformStandIn implements AutoCloseable {

    private static final String OBJECTS_PREFIX = "/v1/objects/";
    private static final String HOSTS_PATH = "/v1/hosts";
    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";
    private static final long LONGEST_WAIT_MILLIS = 60_000;

    private final PlatformStandInSettings settings;
    private final EventLoop eventLoop;
    private final ObjectStore store = new ObjectStore();
    private final HostList hosts;
    private final TokenBucket reads;
    private final TokenBucket writes;
    private final CallCounts counts = new CallCounts();
    private final StandInServer server;
    private PlatformSwitches switches = PlatformSwitches.allOff();

    private PlatformStandIn(PlatformStandInSettings settings, EventLoop eventLoop, Clock clock) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.hosts = new HostList(clock, settings.hostLag(), settings.hostExpiry());
        this.reads = new TokenBucket(clock, settings.readsPerSecond());
        this.writes = new TokenBucket(clock, settings.writesPerSecond());
        this.server =
                StandInServer.start(eventLoop, new InetSocketAddress(settings.host(), settings.port()), this::handle);
    }

    /** Starts a platform whose state and calls all live on the given event loop. */
    public static PlatformStandIn start(PlatformStandInSettings settings, EventLoop eventLoop, Clock clock) {
        return new PlatformStandIn(settings, eventLoop, clock);
    }

    /** The port on which it listens. */
    public int port() {
        return server.port();
    }

    private void handle(HttpCall call) {
        if (call.path().equals("/control")) {
            handleControl(call);
            return;
        }
        if (switches.slownessMillis() > 0) {
            eventLoop.schedule(() -> handleSafely(call), switches.slownessMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        handleProtocol(call);
    }

    private void handleSafely(HttpCall call) {
        try {
            handleProtocol(call);
        } catch (MangowallException failure) {
            call.answerText(failure.failureCode().httpStatus(), failure.getMessage());
        }
    }

    private void handleControl(HttpCall call) {
        if (call.method().equals("PUT")) {
            switches = switches.with(Json.read(call.body()));
        }
        call.answerJson(
                200,
                Map.of(
                        "calls", counts.toMap(),
                        "outage", switches.outage(),
                        "slowness_millis", switches.slownessMillis(),
                        "lose_write_answers", switches.loseWriteAnswers()));
    }

    private void handleProtocol(HttpCall call) {
        if (switches.outage()) {
            counts.add(CallCounts.Kind.REFUSED_BY_OUTAGE);
            call.answerText(503, "the platform is down");
            return;
        }
        boolean isWrite = call.method().equals("PUT");
        TokenBucket bucket = isWrite ? writes : reads;
        if (!bucket.tryTake()) {
            counts.add(CallCounts.Kind.REFUSED_BY_RATE);
            call.answer(429, Map.of("retry-after", "1"), new byte[0]);
            return;
        }
        if (call.path().startsWith(OBJECTS_PREFIX)) {
            handleObject(call, objectName(call.path()), isWrite);
            return;
        }
        if (call.path().startsWith(HOSTS_PATH)) {
            handleHosts(call, isWrite);
            return;
        }
        throw new MangowallException(FailureCode.PATH_UNKNOWN, "no such path");
    }

    private void handleObject(HttpCall call, ObjectName name, boolean isWrite) {
        if (isWrite) {
            writeObject(call, name);
            return;
        }
        if (call.parameter("after").isPresent()) {
            watchObject(call, name);
            return;
        }
        counts.add(CallCounts.Kind.READ);
        store.read(name).ifPresentOrElse(object -> answerObject(call, object), () -> call.answerText(404, "no object"));
    }

    private void writeObject(HttpCall call, ObjectName name) {
        if (call.body().length > settings.maximumObjectBytes()) {
            call.answerText(413, "the object is too large");
            return;
        }
        long expectedVersion = readNumber(call.header(EXPECTED_VERSION_HEADER).orElse(""));
        counts.add(CallCounts.Kind.WRITE);
        if (!store.write(name, expectedVersion, call.body())) {
            counts.add(CallCounts.Kind.CONFLICT);
            call.answer(409, Map.of(VERSION_HEADER, Long.toString(store.version(name))), new byte[0]);
            return;
        }
        if (switches.loseWriteAnswers() > 0) {
            switches = switches.withOneLostAnswerLess();
            counts.add(CallCounts.Kind.LOST_ANSWER);
            call.abort();
            return;
        }
        call.answer(200, Map.of(VERSION_HEADER, Long.toString(expectedVersion + 1)), new byte[0]);
    }

    private void watchObject(HttpCall call, ObjectName name) {
        counts.add(CallCounts.Kind.WATCH);
        long after = readNumber(call.parameter("after").orElse(""));
        long waitMillis = readNumber(call.parameter("wait-millis").orElse("0"));
        if (store.version(name) > after) {
            store.read(name).ifPresent(object -> answerObject(call, object));
            return;
        }
        new Watch(call, name, after).begin(Math.min(waitMillis, LONGEST_WAIT_MILLIS));
    }

    private void handleHosts(HttpCall call, boolean isWrite) {
        if (!isWrite) {
            counts.add(CallCounts.Kind.HOST_LIST);
            call.answerJson(200, hosts.list());
            return;
        }
        counts.add(CallCounts.Kind.ANNOUNCEMENT);
        hosts.announce(Json.read(call.body(), HostDocument.class));
        call.answerText(200, "");
    }

    private static void answerObject(HttpCall call, VersionedObject object) {
        call.answer(200, Map.of(VERSION_HEADER, Long.toString(object.version())), object.content());
    }

    private static ObjectName objectName(String path) {
        String[] parts = path.substring(OBJECTS_PREFIX.length()).split("/", 2);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "an object needs a kind and a name");
        }
        return new ObjectName(parts[0], parts[1]);
    }

    private static long readNumber(String text) {
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

    /** One waiting watch, which ends with a version, with its time or with an outage. */
    private final class Watch implements Consumer<VersionedObject> {

        private final HttpCall call;
        private final ObjectName name;
        private final long after;
        private boolean ended;

        Watch(HttpCall call, ObjectName name, long after) {
            this.call = call;
            this.name = name;
            this.after = after;
        }

        void begin(long waitMillis) {
            store.watch(name, this);
            eventLoop.schedule(this::expire, waitMillis, TimeUnit.MILLISECONDS);
            call.whenGone(this::end);
        }

        @Override
        public void accept(VersionedObject object) {
            if (ended) {
                return;
            }
            if (object.version() <= after) {
                store.watch(name, this);
                return;
            }
            ended = true;
            answerObject(call, object);
        }

        private void expire() {
            if (ended) {
                return;
            }
            end();
            if (switches.outage()) {
                call.answerText(503, "the platform is down");
                return;
            }
            call.answer(304, Map.of(VERSION_HEADER, Long.toString(after)), new byte[0]);
        }

        private void end() {
            ended = true;
            store.unwatch(name, this);
        }
    }
}
