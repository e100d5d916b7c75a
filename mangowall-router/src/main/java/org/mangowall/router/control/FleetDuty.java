package org.mangowall.router.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.duty.Duty;
import org.mangowall.kernel.duty.DutyHandler;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.PartLog;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.membership.MembershipAction;
import org.mangowall.membership.MembershipCore;
import org.mangowall.membership.MembershipEvent;
import org.mangowall.membership.MembershipSettings;
import org.mangowall.membership.configuration.ConfigurationAction;
import org.mangowall.membership.configuration.ConfigurationContent;
import org.mangowall.membership.configuration.ConfigurationCore;
import org.mangowall.membership.configuration.ConfigurationEvent;
import org.mangowall.platform.VersionedObject;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.spi.ControlContext;

/** Membership and configuration of one router: feeds both cores and carries out their actions. */
final class FleetDuty implements DutyHandler<Runnable>, AutoCloseable {

    private static final PartLog MEMBERSHIP_LOG = PartLog.of("membership");
    private static final PartLog CONFIGURATION_LOG = PartLog.of("configuration");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final int RING_EVENTS = 4096;

    private final ControlContext context;
    private final ViewListener viewListener;
    private final Duty<Runnable> duty;
    private MembershipCore membership;
    private ConfigurationCore configuration;
    private HostListing hosts;
    private final AtomicReference<ConfigurationEvent> watchResult = new AtomicReference<>();
    private volatile boolean joined;
    private volatile Optional<ConfigurationContent> current = Optional.empty();

    /** Learns each new view. */
    @FunctionalInterface
    interface ViewListener {
        /** Called on the duty's thread. */
        void viewChanged(FleetView view);
    }

    FleetDuty(ControlContext context, ViewListener viewListener) {
        this.context = context;
        this.viewListener = viewListener;
        this.duty = new Duty<>("membership", RING_EVENTS, TICK_PERIOD, this);
    }

    void start() {
        membership = new MembershipCore(context.self(), MembershipSettings.defaults(), context.clock());
        configuration = new ConfigurationCore(context.self(), context.clock(), context.seed());
        hosts = new HostListing(context);
        install(membership.view());
        duty.start();
    }

    /** Runs a step on the duty's thread; false when the ring is full. */
    boolean post(Runnable step) {
        return duty.offer(step);
    }

    boolean isJoined() {
        return joined;
    }

    Optional<ConfigurationContent> currentConfiguration() {
        return current;
    }

    /** Takes a message of another router; one that finds the ring full counts as lost. */
    void receive(RouterName from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Probe probe ->
                post(() -> {
                    handle(new MembershipEvent.ProbeReceived(from, probe.sequence(), probe.members()));
                    handle(new ConfigurationEvent.PeerVersionSeen(from, probe.configurationVersion()));
                });
            case PeerMessage.ProbeAnswer answer ->
                post(() -> {
                    handle(new MembershipEvent.ProbeAnswered(from, answer.sequence(), answer.members()));
                    handle(new ConfigurationEvent.PeerVersionSeen(from, answer.configurationVersion()));
                });
            case PeerMessage.MembersAsk ask -> post(() -> handle(new MembershipEvent.MembersRequested(from)));
            case PeerMessage.ConfigurationAsk ask ->
                post(() -> handle(new ConfigurationEvent.ContentRequested(from, ask.haveVersion())));
            case PeerMessage.ConfigurationContent content ->
                post(() -> handle(new ConfigurationEvent.ContentReceived(
                        new ConfigurationContent(content.version(), content.document()))));
            default -> MEMBERSHIP_LOG.warn("%s sent a message that is not expected here", from);
        }
    }

    /** Takes a document that was just written through this router. */
    void written(ConfigurationContent content) {
        post(() -> handle(new ConfigurationEvent.ContentReceived(content)));
    }

    void leave() {
        post(() -> {
            handle(new MembershipEvent.LeaveBegan());
            hosts.announceLeaving();
        });
    }

    @Override
    public void handle(Runnable step) {
        step.run();
    }

    @Override
    public void tick() {
        hosts.tick(joined && membership.view().members().size() > 1);
        hosts.takeNews().ifPresent(this::takeHosts);
        ConfigurationEvent ended = watchResult.getAndSet(null);
        if (ended != null) {
            handle(ended);
        }
        handle(new MembershipEvent.ClockTicked());
        handle(new ConfigurationEvent.ClockTicked());
    }

    private void takeHosts(MembershipEvent news) {
        context.installFleetView(hosts.withCandidates(membership.view()));
        handle(news);
    }

    private void handle(MembershipEvent event) {
        membership.handle(event).forEach(this::carryOut);
    }

    private void handle(ConfigurationEvent event) {
        configuration.handle(event).forEach(this::carryOut);
    }

    private void carryOut(MembershipAction action) {
        switch (action) {
            case MembershipAction.SendProbe probe -> sendProbe(probe);
            case MembershipAction.SendProbeAnswer answer ->
                context.send(
                        answer.to(),
                        new PeerMessage.ProbeAnswer(answer.sequence(), configuration.version(), answer.members()));
            case MembershipAction.RequestMembers ask -> context.send(ask.to(), new PeerMessage.MembersAsk());
            case MembershipAction.ChangeView change -> install(change.view());
            case MembershipAction.ReportLost lost ->
                MEMBERSHIP_LOG.warn("%s with incarnation %s is lost", lost.router(), lost.incarnation());
            case MembershipAction.ReportJoined report -> {
                joined = true;
                MEMBERSHIP_LOG.info(
                        "joined with %s routers known",
                        membership.view().members().size());
            }
            case MembershipAction.ReportSuperseded superseded -> {
                joined = false;
                MEMBERSHIP_LOG.warn(
                        "a later incarnation %s of this router runs elsewhere; this one takes no more work",
                        superseded.laterIncarnation());
            }
        }
    }

    private void sendProbe(MembershipAction.SendProbe probe) {
        PeerMessage.Probe message = new PeerMessage.Probe(probe.sequence(), configuration.version(), probe.members());
        context.send(probe.to().name(), message);
    }

    private void install(FleetView view) {
        context.installFleetView(hosts.withCandidates(view));
        viewListener.viewChanged(view);
        handle(new ConfigurationEvent.FleetChanged(view));
    }

    private void carryOut(ConfigurationAction action) {
        switch (action) {
            case ConfigurationAction.StartWatch watch -> startWatch(watch);
            case ConfigurationAction.RequestDocumentFromPeer ask ->
                context.send(ask.peer(), new PeerMessage.ConfigurationAsk(ask.haveVersion()));
            case ConfigurationAction.SendContent send ->
                context.send(
                        send.peer(),
                        new PeerMessage.ConfigurationContent(
                                send.content().version(), send.content().document()));
            case ConfigurationAction.InstallContent install -> install(install.content());
        }
    }

    private void startWatch(ConfigurationAction.StartWatch watch) {
        context.platform()
                .watch(OperatorConfiguration.INVENTORY, watch.afterVersion(), watch.patience())
                .whenComplete((found, failure) -> endWatch(found, failure));
    }

    private void endWatch(Optional<VersionedObject> found, Throwable failure) {
        watchResult.set(
                failure != null
                        ? new ConfigurationEvent.WatchFailed()
                        : new ConfigurationEvent.WatchEnded(
                                found.map(object -> new ConfigurationContent(object.version(), object.content()))));
    }

    private void install(ConfigurationContent content) {
        current = Optional.of(content);
        try {
            context.installInventory(
                    InventoryDocument.parseJson(content.document()).toInventory(content.version()));
        } catch (MangowallException failure) {
            CONFIGURATION_LOG.error(
                    failure, "version %s can't be read; the one before stays in force", content.version());
        }
    }

    @Override
    public void close() {
        if (membership != null) {
            CompletableFuture<Void> said = new CompletableFuture<>();
            post(() -> {
                handle(new MembershipEvent.LeaveEnded());
                said.complete(null);
            });
            said.completeOnTimeout(null, TICK_PERIOD.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
        }
        duty.close();
    }
}
