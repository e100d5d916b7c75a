package org.mangowall.standin.demo;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.netty.channel.nio.NioEventLoopGroup;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.inventory.document.RegionEntry;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformProvider;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.router.CallerSettings;
import org.mangowall.router.PeerSettings;
import org.mangowall.router.Router;
import org.mangowall.router.RouterSettings;
import org.mangowall.router.RunnerSettings;
import org.mangowall.standin.farm.FarmSettings;
import org.mangowall.standin.farm.RunnerFarm;
import org.mangowall.standin.platform.PlatformStandIn;
import org.mangowall.standin.platform.PlatformStandInSettings;

/** A platform, all runners of the example inventory and one router in each availability zone. */
public final class DemoFleet implements AutoCloseable {

    private static final ObjectName INVENTORY = new ObjectName("configuration", "inventory");
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final Duration ENTRY_HOSTS_KEEP_TIME = Duration.ofSeconds(1);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Clock clock = new MonotonicClock();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
    private final List<Router> routers = new ArrayList<>();
    private final PlatformStandIn platform;
    private final RunnerFarm farm;
    private final InventoryDocument inventory;

    private DemoFleet() {
        this.platform = PlatformStandIn.start(PlatformStandInSettings.withDefaults(), eventLoops.next(), clock);
        InventoryDocument example = readExample();
        this.farm = RunnerFarm.startOnFreePorts(example, FarmSettings.withDefaults(), eventLoops, clock);
        this.inventory = new InventoryDocument(
                example.regions(), example.services(), farm.runners(), example.workspaces(), example.rules());
    }

    /**
     * Starts the fleet and waits until all routers know the inventory and each other.
     *
     * @throws MangowallException with {@link FailureCode#NOT_READY} when that exceeds the start timeout
     */
    public static DemoFleet start() {
        DemoFleet fleet = new DemoFleet();
        try {
            fleet.applyInventory();
            fleet.startRouters();
            fleet.awaitReady();
            return fleet;
        } catch (RuntimeException failure) {
            fleet.close();
            throw failure;
        }
    }

    private static InventoryDocument readExample() {
        try (InputStream stream = DemoFleet.class.getResourceAsStream("inventory.toml")) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return InventoryDocument.parseToml("inventory.toml", text);
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "failed to read the example inventory", failure);
        }
    }

    private void applyInventory() {
        PlatformProvider provider = PluginRegistry.load(PlatformProvider.class).find("http");
        try (PlatformClient client = provider.open(PlatformSettings.of(platformEndpoint()))) {
            client.write(INVENTORY, PlatformClient.NO_VERSION, inventory.toJson())
                    .join();
        }
    }

    private void startRouters() {
        for (RegionEntry region : inventory.regions()) {
            for (ZoneName zone : region.zones()) {
                RouterName name = new RouterName("router-" + (routers.size() + 1));
                routers.add(Router.start(routerSettings(name, zone)));
            }
        }
    }

    private RouterSettings routerSettings(RouterName name, ZoneName zone) {
        CallerSettings defaults = CallerSettings.DEFAULTS;
        CallerSettings withShortKeepTime = new CallerSettings(
                defaults.maximumHeaderBytes(),
                defaults.maximumBodyBytes(),
                defaults.maximumOpenRequests(),
                defaults.maximumBufferedBytes(),
                defaults.idleTimeout(),
                defaults.readTimeout(),
                ENTRY_HOSTS_KEEP_TIME,
                defaults.drainTimeout());
        return RouterSettings.embedded(name, zone, platformEndpoint())
                .withLimits(withShortKeepTime, PeerSettings.DEFAULTS, RunnerSettings.DEFAULTS);
    }

    private void awaitReady() {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!isReady()) {
            if (System.nanoTime() > deadline) {
                throw new MangowallException(FailureCode.NOT_READY, "the routers were not ready in time");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private boolean isReady() {
        return routers.stream()
                .allMatch(router -> router.configurationVersion() > 0 && router.knownRouters() == routers.size());
    }

    /** Returns the base URL of the platform. */
    public URI platformEndpoint() {
        return URI.create("http://127.0.0.1:" + platform.port());
    }

    /** Returns the routers, one in each availability zone. */
    public List<Router> routers() {
        return List.copyOf(routers);
    }

    /** Returns the inventory that the fleet uses. */
    public InventoryDocument inventory() {
        return inventory;
    }

    /** Waits until all routers have completed their requests, then stops the fleet. */
    @Override
    public void close() {
        CompletableFuture<?>[] shutdowns = routers.stream().map(Router::leave).toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(shutdowns).join();
        routers.forEach(Router::close);
        farm.close();
        platform.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
