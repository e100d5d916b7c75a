package org.mangowall.command;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.router.Router;
import org.mangowall.router.RouterSettings;

/** Runs the command line against routers in this JVM; each change waits until it is in force on all of them. */
class RealRoutersSessionTest {

    private static final Path EXAMPLE_INVENTORY = Path.of("..", "examples", "le-goff", "inventory.toml");

    @TempDir
    private Path directory;

    private final InMemoryPlatform platform = new InMemoryPlatform(new MonotonicClock());
    private final List<Router> routers = new ArrayList<>();
    private CommandSession session;

    @BeforeEach
    void startRouters() throws IOException {
        session = new CommandSession(directory, new MonotonicClock(), Thread::yield);
        String[] zones = {"rennes", "brest", "vannes"};
        StringBuilder addresses = new StringBuilder();
        for (int number = 1; number <= zones.length; number++) {
            RouterSettings settings = RouterSettings.embedded(
                    new RouterName("router-" + number), new ZoneName(zones[number - 1]), URI.create("http://none"));
            Router router = Router.start(settings, nonClosingPlatform(), new MonotonicClock());
            routers.add(router);
            String address = "127.0.0.1:" + router.operatorPort();
            session.placeholder(address, "OPERATOR-" + number);
            addresses
                    .append(number == 1 ? "" : ", ")
                    .append('"')
                    .append(address)
                    .append('"');
        }
        session.file("mangowall.toml", "routers = [" + addresses + "]\n")
                .file("inventory.toml", Files.readString(EXAMPLE_INVENTORY));
    }

    /** Returns a client that ignores {@code close()}, because all routers share the platform. */
    private PlatformClient nonClosingPlatform() {
        return (PlatformClient) Proxy.newProxyInstance(
                PlatformClient.class.getClassLoader(),
                new Class<?>[] {PlatformClient.class},
                (proxy, method, arguments) ->
                        method.getName().equals("close") ? null : method.invoke(platform, arguments));
    }

    @AfterEach
    void stopRouters() {
        routers.forEach(Router::close);
    }

    @Test
    void changesConfigurationOfRunningRouters() {
        session.run("get --settings mangowall.toml")
                .run("apply inventory.toml --settings mangowall.toml")
                .run("apply inventory.toml --settings mangowall.toml")
                .run("zone close rennes --settings mangowall.toml")
                .run("runner drain caisse-brest --settings mangowall.toml")
                .run("workspace weight bureau-auray 2.5 --settings mangowall.toml")
                .run("plan inventory.toml --settings mangowall.toml")
                .run("apply inventory.toml --settings mangowall.toml --expect-version 1")
                .run("zone open rennes --routers OPERATOR-3,OPERATOR-1")
                .run("runner return caisse-brest --settings mangowall.toml")
                .run("explain router-1~0~1 --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }
}
