package org.mangowall.router.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.platform.memory.NonClosingPlatformClient;
import org.mangowall.router.Router;
import org.mangowall.router.RouterSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs whole routers with the membership control plane on an in-memory platform. */
class MembershipControlPlaneTest {

    private static final int ROUTER_COUNT = 3;
    private static final int MAXIMUM_POLLS = 100_000;
    private static final String REQUEST_PATH = "/services/register/entries";

    private final InMemoryPlatform platform = new InMemoryPlatform(new MonotonicClock());
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Router> routers = new ArrayList<>();
    private final AtomicInteger runnerExecutions = new AtomicInteger();
    private HttpServer runner;

    @BeforeEach
    void start() throws IOException {
        runner = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        runner.createContext("/entries", exchange -> {
            byte[] answer = ("run " + runnerExecutions.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(201, answer.length);
            exchange.getResponseBody().write(answer);
            exchange.close();
        });
        runner.start();
        platform.write(OperatorConfiguration.INVENTORY_OBJECT, 0, document(1.0)).join();
        for (int index = 1; index <= ROUTER_COUNT; index++) {
            routers.add(startRouter(index));
        }
        await(() -> routers.stream().allMatch(router -> isReady(router) && router.knownRouters() == ROUTER_COUNT));
    }

    @AfterEach
    void stop() {
        routers.forEach(Router::close);
        runner.stop(0);
    }

    private Router startRouter(int index) {
        RouterSettings settings = RouterSettings.embedded(
                        new RouterName("router-" + index), new ZoneName("zone-" + index), URI.create("http://none"))
                .withPlugins("round-robin", "membership");
        return Router.start(settings, new NonClosingPlatformClient(platform), new MonotonicClock());
    }

    private byte[] document(double weight) {
        String toml = """
                [[regions]]
                name = "region"
                availability_zones = ["zone-1", "zone-2", "zone-3"]
                [[services]]
                name = "register"
                kind = "plain"
                [[runners]]
                name = "register-1"
                service = "register"
                zone = "zone-1"
                address = "127.0.0.1:%d"
                slots = 8
                [[workspaces]]
                name = "school"
                weight = %s
                """.formatted(runner.getAddress().getPort(), weight);
        return InventoryDocument.parseToml("test", toml).toJson();
    }

    private static void await(BooleanSupplier condition) {
        for (int poll = 0; poll < MAXIMUM_POLLS; poll++) {
            if (condition.getAsBoolean()) {
                return;
            }
            LockSupport.parkNanos(1_000_000);
        }
        throw new IllegalStateException("the condition did not become true in time");
    }

    private boolean isReady(Router router) {
        URI uri = URI.create("http://127.0.0.1:" + router.callerPort() + "/mangowall/ready");
        return send(HttpRequest.newBuilder(uri)).statusCode() == 200;
    }

    private HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return client.send(request.timeout(Duration.ofSeconds(20)).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private HttpResponse<String> post(int router, String key, String body) {
        URI uri = URI.create("http://127.0.0.1:" + routers.get(router).callerPort() + REQUEST_PATH);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                .header("x-workspace", "school")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return send(key.isEmpty() ? request : request.header("idempotency-key", key));
    }

    private HttpResponse<String> put(int router, long expectedVersion, byte[] document) {
        URI uri = URI.create("http://127.0.0.1:" + routers.get(router).operatorPort() + "/mangowall/configuration");
        return send(HttpRequest.newBuilder(uri)
                .header("x-expected-version", Long.toString(expectedVersion))
                .PUT(HttpRequest.BodyPublishers.ofByteArray(document)));
    }

    private static String outcome(HttpResponse<String> answer) {
        return answer.headers().firstValue("x-mangowall-outcome").orElse("");
    }

    @Test
    void aKeyedRequestRunsOnceWhicheverRoutersReceiveIt() {
        for (int key = 0; key < 10; key++) {
            HttpResponse<String> first = post(key % ROUTER_COUNT, "key-" + key, "certify");
            assertEquals(201, first.statusCode(), first.body());
            int executionsBefore = runnerExecutions.get();
            for (int router = 0; router < ROUTER_COUNT; router++) {
                HttpResponse<String> repeated = post(router, "key-" + key, "certify");
                assertTrue(repeated.statusCode() == 201 || repeated.statusCode() == 409, repeated.body());
            }
            assertEquals(executionsBefore, runnerExecutions.get());
            assertEquals(422, post(0, "key-" + key, "other content").statusCode());
        }
        assertEquals(10, runnerExecutions.get());
    }

    @Test
    void claimsSurviveARestartOfAllRouters() {
        assertEquals(201, post(0, "key", "certify").statusCode());
        for (int index = 0; index < ROUTER_COUNT; index++) {
            routers.get(index).close();
            routers.set(index, startRouter(index + 1));
        }
        await(() -> routers.stream().allMatch(this::isReady));
        HttpResponse<String> repeated = post(1, "key", "certify");
        assertEquals(409, repeated.statusCode(), repeated.body());
        assertEquals(1, runnerExecutions.get());
    }

    @Test
    void keyedRequestsAreRefusedAsNotRunWhileThePlatformIsDownAndOthersRun() {
        platform.setDown(true);
        HttpResponse<String> refused = post(0, "key", "certify");
        assertEquals(503, refused.statusCode());
        assertEquals("not-run", outcome(refused));
        assertEquals(0, runnerExecutions.get());
        assertEquals(201, post(1, "", "certify").statusCode());
    }

    @Test
    void aWriteReachesAllRoutersAndAStaleWriteIsRejected() {
        assertEquals(200, put(0, 1, document(2.0)).statusCode());
        assertEquals(409, put(1, 1, document(3.0)).statusCode());
        await(() -> routers.stream().allMatch(router -> router.configurationVersion() == 2));
        platform.loseResponses(1);
        assertEquals(200, put(2, 2, document(4.0)).statusCode());
        await(() -> routers.stream().allMatch(router -> router.configurationVersion() == 3));
        platform.setDown(true);
        assertEquals(503, put(0, 3, document(5.0)).statusCode());
    }
}
