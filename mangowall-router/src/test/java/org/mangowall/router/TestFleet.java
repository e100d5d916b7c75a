package org.mangowall.router;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.protocol.operator.RouterStatusDocument;

/** A fleet of routers in this JVM that share an in-memory platform. */
final class TestFleet implements AutoCloseable {

    private static final int MAXIMUM_STATUS_READS = 20_000;

    private final InMemoryPlatform platform = new InMemoryPlatform(new MonotonicClock());
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Router> routers = new ArrayList<>();

    TestFleet(int size, String policy, CallerSettings caller, PeerSettings peer, String inventory)
            throws IOException, InterruptedException {
        byte[] document = InventoryDocument.parseToml("test", inventory).toJson();
        platform.write(new ObjectName("configuration", "inventory"), 0, document)
                .join();
        startRouters(1, size, policy, caller, peer);
        awaitAllReady();
    }

    /** Starts one router in zone-2 that sees {@code peer} as router-1 in zone-1, the home of all runners. */
    TestFleet(FakePeer peer, PeerSettings settings) throws IOException, InterruptedException {
        byte[] document = InventoryDocument.parseToml("test", inventory(1, 2)).toJson();
        platform.write(new ObjectName("configuration", "inventory"), 0, document)
                .join();
        platform.announce(new HostEntry("router-1", "zone-1", "127.0.0.1", 1, peer.port(), false))
                .join();
        startRouters(2, 2, "round-robin", CallerSettings.DEFAULTS, settings);
        awaitAllReady();
    }

    private void startRouters(int first, int last, String policy, CallerSettings caller, PeerSettings peer) {
        for (int index = first; index <= last; index++) {
            RouterSettings settings = RouterSettings.embedded(
                            new RouterName("router-" + index), new ZoneName("zone-" + index), URI.create("http://none"))
                    .withPlugins(policy, "polling")
                    .withLimits(caller, peer, RunnerSettings.DEFAULTS);
            routers.add(Router.start(settings, nonClosingPlatform(), new MonotonicClock()));
        }
    }

    static TestFleet of(int size, String inventory) throws IOException, InterruptedException {
        return new TestFleet(size, "round-robin", CallerSettings.DEFAULTS, PeerSettings.DEFAULTS, inventory);
    }

    /** One region with zone-1 to zone-3, one workspace, and a model and a plain service with one runner each. */
    static String inventory(int modelPort, int plainPort) {
        return """
                [[regions]]
                name = "region"
                availability_zones = ["zone-1", "zone-2", "zone-3"]
                [[services]]
                name = "writer"
                kind = "model"
                first_progress_timeout = "1s"
                progress_timeout = "1s"
                [[services]]
                name = "register"
                kind = "plain"
                first_progress_timeout = "1s"
                progress_timeout = "1s"
                [[runners]]
                name = "writer-1"
                service = "writer"
                zone = "zone-1"
                address = "127.0.0.1:%d"
                slots = 8
                [[runners]]
                name = "register-1"
                service = "register"
                zone = "zone-1"
                address = "127.0.0.1:%d"
                slots = 8
                [[workspaces]]
                name = "school"
                weight = 1.0
                """.formatted(modelPort, plainPort);
    }

    private PlatformClient nonClosingPlatform() {
        return (PlatformClient) Proxy.newProxyInstance(
                PlatformClient.class.getClassLoader(),
                new Class<?>[] {PlatformClient.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("close")) {
                        return null;
                    }
                    try {
                        return method.invoke(platform, arguments);
                    } catch (InvocationTargetException failure) {
                        throw failure.getCause();
                    }
                });
    }

    private void awaitAllReady() throws IOException, InterruptedException {
        for (Router router : routers) {
            int reads = 0;
            while (!status(router).ready()
                    || status(router).members().size() < platform.hosts().join().size()) {
                reads++;
                if (reads > MAXIMUM_STATUS_READS) {
                    throw new IllegalStateException("the fleet did not become ready in time");
                }
            }
        }
    }

    RouterStatusDocument status(Router router) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + router.operatorPort() + "/mangowall/status");
        HttpResponse<byte[]> answer =
                client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
        return RouterStatusDocument.parse(answer.body());
    }

    Router router(int index) {
        return routers.get(index);
    }

    int size() {
        return routers.size();
    }

    HttpClient client() {
        return client;
    }

    HttpRequest.Builder request(int router, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + router(router).callerPort() + path))
                .timeout(Duration.ofSeconds(20))
                .header("x-workspace", "school");
    }

    HttpResponse<String> post(int router, String path, String body) throws IOException, InterruptedException {
        return client.send(
                request(router, path)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    void leave(int router) throws Exception {
        router(router).leave().get(30, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
    }
}
