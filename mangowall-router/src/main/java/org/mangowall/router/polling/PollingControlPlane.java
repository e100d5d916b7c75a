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
import org.mangowall.kernel.log.PartLog;
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
import org.mangowall.protocol.StoredAnswer;
import org.mangowall.router.spi.ClaimGate;
import org.mangowall.router.spi.ConfigurationAccess;
import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;

/** Reads the list of hosts once a second and watches the configuration; it grants no claims. */
final class PollingControlPlane implements ControlPlane, ConfigurationAccess, DutyHandler<Runnable> {

    private static final PartLog LOG = PartLog.of("control");
    private static final ObjectName INVENTORY = new ObjectName("configuration", "inventory");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final long HOSTS_MILLIS = 1000;
    private static final long ANNOUNCE_MILLIS = 10_000;
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(5);
    private static final int RING_EVENTS = 256;
    private static final int WRITE_TRIES = 6;

    private final ControlContext context;
    private final PlatformClient platform;
    private final Duty<Runnable> duty;
    private final Backoff watchBackoff;
    private long nextHostsMillis;
    private long nextAnnounceMillis;
    private long nextWatchMillis;
    private long version;
    private boolean watching;
    private List<HostEntry> latestHosts = List.of();
    private volatile boolean leaving;

    PollingControlPlane(ControlContext context) {
        this.context = context;
        this.platform = context.platform();
        this.duty = new Duty<>("control", RING_EVENTS, TICK_PERIOD, this);
        this.watchBackoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, context.seed());
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
    public void handle(Runnable step) {
        step.run();
    }

    @Override
    public void tick() {
        long now = context.clock().millis();
        if (now >= nextAnnounceMillis) {
            nextAnnounceMillis = now + ANNOUNCE_MILLIS;
            announce();
        }
        if (now >= nextHostsMillis) {
            nextHostsMillis = now + HOSTS_MILLIS;
            platform.hosts().whenComplete((hosts, failure) -> {
                if (failure == null) {
                    duty.offer(() -> install(hosts));
                }
            });
        }
        if (!watching && now >= nextWatchMillis) {
            watching = true;
            platform.watch(INVENTORY, version, WATCH_WAIT)
                    .whenComplete((found, failure) -> duty.offer(() -> watched(found, failure)));
        }
    }

    private void announce() {
        FleetMember self = self();
        platform.announce(new HostEntry(
                self.name().value(), self.zone().value(), self.host(), self.callerPort(), self.peerPort(), leaving));
    }

    private void install(List<HostEntry> hosts) {
        latestHosts = hosts;
        List<FleetMember> members = new ArrayList<>();
        for (HostEntry host : hosts) {
            if (!host.name().equals(context.self().name().value())) {
                members.add(member(host));
            }
        }
        members.add(self());
        context.installFleetView(FleetView.of(members));
    }

    private static FleetMember member(HostEntry host) {
        return new FleetMember(
                new RouterName(host.name()),
                0,
                new ZoneName(host.zone()),
                host.host(),
                host.callerPort(),
                host.peerPort(),
                host.leaving() ? MemberState.LEAVING : MemberState.ALIVE);
    }

    private void watched(Optional<VersionedObject> found, Throwable failure) {
        watching = false;
        if (failure != null) {
            nextWatchMillis = context.clock().millis() + watchBackoff.next().toMillis();
            return;
        }
        watchBackoff.reset();
        found.ifPresent(this::install);
    }

    private void install(VersionedObject object) {
        if (object.version() <= version) {
            return;
        }
        version = object.version();
        try {
            context.installInventory(
                    InventoryDocument.parseJson(object.content()).toInventory(version));
        } catch (MangowallException failure) {
            LOG.error(failure, "configuration %s can't be read", version);
        }
    }

    @Override
    public void messageReceived(RouterName from, long incarnation, PeerMessage message) {
        LOG.debug("a message of %s is not understood by this control plane", from);
    }

    @Override
    public ClaimGate claims() {
        return new ClaimGate() {
            @Override
            public CompletableFuture<ClaimResult> claim(
                    RequestIdentifier request, String keyDigest, String requestDigest) {
                return CompletableFuture.completedFuture(new ClaimResult(ClaimVerdict.UNAVAILABLE, Optional.empty()));
            }

            @Override
            public void settle(
                    RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer) {
                LOG.debug("no claim stands for %s", request);
            }
        };
    }

    @Override
    public ConfigurationAccess configuration() {
        return this;
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> current() {
        return platform.read(INVENTORY);
    }

    @Override
    public CompletableFuture<Long> write(long expectedVersion, byte[] document) {
        Backoff backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, context.seed() + expectedVersion);
        ConditionalWriter writer = new ConditionalWriter(platform, PollingControlPlane::delay, WRITE_TRIES);
        return writer.write(INVENTORY, expectedVersion, document, backoff);
    }

    private static CompletableFuture<Void> delay(Duration wait) {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(wait.toMillis(), TimeUnit.MILLISECONDS));
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void leave() {
        leaving = true;
        duty.offer(() -> {
            install(latestHosts);
            announce();
        });
    }

    @Override
    public void close() {
        duty.close();
    }
}
