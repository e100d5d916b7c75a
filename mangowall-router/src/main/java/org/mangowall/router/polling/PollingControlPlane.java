package org.mangowall.router.polling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.duty.DutyHandler;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.protocol.StoredResponse;
import org.mangowall.router.spi.ClaimService;
import org.mangowall.router.spi.ConfigurationAccess;
import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;

/** Polls the platform's list of hosts once a second and watches the configuration; grants no claims. */
final class PollingControlPlane implements ControlPlane, ConfigurationAccess, DutyHandler<Runnable> {

    private static final ComponentLog LOG = ComponentLog.of("control");
    private static final ObjectName INVENTORY_OBJECT = new ObjectName("configuration", "inventory");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final long HOST_LIST_PERIOD_MILLIS = 1000;
    private static final long ANNOUNCE_PERIOD_MILLIS = 10_000;
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);
    private static final int RING_CAPACITY_EVENTS = 256;
    private static final int MAXIMUM_WRITE_ATTEMPTS = 6;

    private final ControlContext context;
    private final PlatformClient platform;
    private final Duty<Runnable> duty;
    private final Backoff watchBackoff;
    private long nextHostListMillis;
    private long nextAnnounceMillis;
    private long nextWatchMillis;
    private long configurationVersion;
    private boolean watching;
    private List<HostEntry> latestHosts = List.of();
    private volatile boolean leaving;

    PollingControlPlane(ControlContext context) {
        this.context = context;
        this.platform = context.platform();
        this.duty = new Duty<>("control", RING_CAPACITY_EVENTS, TICK_PERIOD, this);
        this.watchBackoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, context.seed());
    }

    @Override
    public void start() {
        context.installFleetView(FleetView.of(List.of(self())));
        duty.start();
    }

    private FleetMember self() {
        return context.self().withState(leaving ? MemberState.LEAVING : MemberState.ALIVE);
    }

    @Override
    public void handle(Runnable task) {
        task.run();
    }

    @Override
    public void tick() {
        long now = context.clock().millis();
        if (now >= nextAnnounceMillis) {
            nextAnnounceMillis = now + ANNOUNCE_PERIOD_MILLIS;
            announce();
        }
        if (now >= nextHostListMillis) {
            nextHostListMillis = now + HOST_LIST_PERIOD_MILLIS;
            platform.hosts().whenComplete((hosts, failure) -> {
                if (failure == null) {
                    duty.offer(() -> installHosts(hosts));
                }
            });
        }
        if (!watching && now >= nextWatchMillis) {
            watching = true;
            platform.watch(INVENTORY_OBJECT, configurationVersion, WATCH_TIMEOUT)
                    .whenComplete((found, failure) -> duty.offer(() -> watchEnded(found, failure)));
        }
    }

    private void announce() {
        FleetMember self = self();
        platform.announce(new HostEntry(
                self.name().value(), self.zone().value(), self.host(), self.callerPort(), self.peerPort(), leaving));
    }

    private void installHosts(List<HostEntry> hosts) {
        latestHosts = hosts;
        List<FleetMember> members = new ArrayList<>();
        for (HostEntry host : hosts) {
            if (!host.name().equals(context.self().name().value())) {
                members.add(toMember(host));
            }
        }
        members.add(self());
        context.installFleetView(FleetView.of(members));
    }

    private static FleetMember toMember(HostEntry host) {
        return new FleetMember(
                new RouterName(host.name()),
                0,
                new ZoneName(host.zone()),
                host.host(),
                host.callerPort(),
                host.peerPort(),
                host.leaving() ? MemberState.LEAVING : MemberState.ALIVE);
    }

    private void watchEnded(Optional<VersionedObject> found, Throwable failure) {
        watching = false;
        if (failure != null) {
            nextWatchMillis = context.clock().millis() + watchBackoff.next().toMillis();
            return;
        }
        watchBackoff.reset();
        found.ifPresent(this::installConfiguration);
    }

    private void installConfiguration(VersionedObject object) {
        if (object.version() <= configurationVersion) {
            return;
        }
        configurationVersion = object.version();
        try {
            context.installInventory(
                    InventoryDocument.parseJson(object.content()).toInventory(configurationVersion));
        } catch (MangowallException failure) {
            LOG.error(failure, "configuration version %s is invalid", configurationVersion);
        }
    }

    @Override
    public void messageReceived(RouterName from, long incarnation, PeerMessage message) {
        LOG.debug("ignored a message of router %s: the polling control plane handles none", from);
    }

    @Override
    public ClaimService claims() {
        return new ClaimService() {
            @Override
            public CompletableFuture<ClaimResult> claim(
                    RequestIdentifier request, String keyDigest, String requestDigest) {
                return CompletableFuture.completedFuture(new ClaimResult(ClaimVerdict.UNAVAILABLE, Optional.empty()));
            }

            @Override
            public void settle(
                    RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer) {
                LOG.debug("request %s has no claim to settle", request);
            }
        };
    }

    @Override
    public ConfigurationAccess configuration() {
        return this;
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> current() {
        return platform.read(INVENTORY_OBJECT);
    }

    @Override
    public CompletableFuture<Long> write(long expectedVersion, byte[] document) {
        Backoff backoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, context.seed() + expectedVersion);
        ConditionalWriter writer = new ConditionalWriter(platform, PollingControlPlane::delay, MAXIMUM_WRITE_ATTEMPTS);
        return writer.write(INVENTORY_OBJECT, expectedVersion, document, backoff);
    }

    private static CompletableFuture<Void> delay(Duration duration) {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS));
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void leave() {
        leaving = true;
        duty.offer(() -> {
            installHosts(latestHosts);
            announce();
        });
    }

    @Override
    public void close() {
        duty.close();
    }
}
