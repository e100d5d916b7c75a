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
import org.mangowall.kernel.log.ComponentLog;
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

/** Runs the membership and configuration cores of a router on one thread and executes their actions. */
final class FleetDuty implements DutyHandler<Runnable>, AutoCloseable {

    private static final ComponentLog MEMBERSHIP_LOG = ComponentLog.of("membership");
    private static final ComponentLog CONFIGURATION_LOG = ComponentLog.of("configuration");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final int RING_CAPACITY_EVENTS = 4096;

    private final ControlContext context;
    private final ViewListener viewListener;
    private final Duty<Runnable> duty;
    private MembershipCore membership;
    private ConfigurationCore configuration;
    private HostRegistryClient hostRegistry;
    private final AtomicReference<ConfigurationEvent> watchResult = new AtomicReference<>();
    private volatile boolean joined;
    private volatile Optional<ConfigurationContent> currentContent = Optional.empty();

    /** Receives each new view of the fleet. */
    @FunctionalInterface
    interface ViewListener {
        /** Called on the membership thread. */
        void viewChanged(FleetView view);
    }

    FleetDuty(ControlContext context, ViewListener viewListener) {
        this.context = context;
        this.viewListener = viewListener;
        this.duty = new Duty<>("membership", RING_CAPACITY_EVENTS, TICK_PERIOD, this);
    }

    void start() {
        membership = new MembershipCore(context.self(), MembershipSettings.defaults(), context.clock());
        configuration = new ConfigurationCore(context.self(), context.clock(), context.seed());
        hostRegistry = new HostRegistryClient(context);
        install(membership.view());
        duty.start();
    }

    /** Schedules a task on the membership thread; false when the ring is full and the task was dropped. */
    boolean offer(Runnable task) {
        return duty.offer(task);
    }

    boolean isJoined() {
        return joined;
    }

    Optional<ConfigurationContent> currentConfiguration() {
        return currentContent;
    }

    /** Handles a message of another router; it is dropped when the ring is full. */
    void receive(RouterName from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Probe probe ->
                offer(() -> {
                    handle(new MembershipEvent.ProbeReceived(from, probe.sequence(), probe.members()));
                    handle(new ConfigurationEvent.PeerVersionSeen(from, probe.configurationVersion()));
                });
            case PeerMessage.ProbeAnswer answer ->
                offer(() -> {
                    handle(new MembershipEvent.ProbeAnswered(from, answer.sequence(), answer.members()));
                    handle(new ConfigurationEvent.PeerVersionSeen(from, answer.configurationVersion()));
                });
            case PeerMessage.MembersAsk ask -> offer(() -> handle(new MembershipEvent.MembersRequested(from)));
            case PeerMessage.ConfigurationAsk ask ->
                offer(() -> handle(new ConfigurationEvent.ContentRequested(from, ask.haveVersion())));
            case PeerMessage.ConfigurationContent content ->
                offer(() -> handle(new ConfigurationEvent.ContentReceived(
                        new ConfigurationContent(content.version(), content.document()))));
            default -> MEMBERSHIP_LOG.warn("router %s sent an unexpected message", from);
        }
    }

    /** Handles a document that was just written through this router. */
    void configurationWritten(ConfigurationContent content) {
        offer(() -> handle(new ConfigurationEvent.ContentReceived(content)));
    }

    void leave() {
        offer(() -> {
            handle(new MembershipEvent.LeaveBegan());
            hostRegistry.announceLeaving();
        });
    }

    @Override
    public void handle(Runnable task) {
        task.run();
    }

    @Override
    public void tick() {
        hostRegistry.tick(joined && membership.view().members().size() > 1);
        hostRegistry.takeEvent().ifPresent(this::handleHostEvent);
        ConfigurationEvent watchEvent = watchResult.getAndSet(null);
        if (watchEvent != null) {
            handle(watchEvent);
        }
        handle(new MembershipEvent.ClockTicked());
        handle(new ConfigurationEvent.ClockTicked());
    }

    private void handleHostEvent(MembershipEvent event) {
        context.installFleetView(hostRegistry.withCandidates(membership.view()));
        handle(event);
    }

    private void handle(MembershipEvent event) {
        membership.handle(event).forEach(this::execute);
    }

    private void handle(ConfigurationEvent event) {
        configuration.handle(event).forEach(this::execute);
    }

    private void execute(MembershipAction action) {
        switch (action) {
            case MembershipAction.SendProbe probe -> sendProbe(probe);
            case MembershipAction.SendProbeAnswer answer ->
                context.send(
                        answer.to(),
                        new PeerMessage.ProbeAnswer(answer.sequence(), configuration.version(), answer.members()));
            case MembershipAction.RequestMembers request -> context.send(request.to(), new PeerMessage.MembersAsk());
            case MembershipAction.ChangeView change -> install(change.view());
            case MembershipAction.ReportLost lost ->
                MEMBERSHIP_LOG.warn("lost router %s with incarnation %s", lost.router(), lost.incarnation());
            case MembershipAction.ReportJoined report -> {
                joined = true;
                MEMBERSHIP_LOG.info(
                        "joined the fleet; %s routers known",
                        membership.view().members().size());
            }
            case MembershipAction.ReportSuperseded superseded -> {
                joined = false;
                MEMBERSHIP_LOG.warn(
                        "a later incarnation %s of this router runs elsewhere; this one accepts no more work",
                        superseded.laterIncarnation());
            }
        }
    }

    private void sendProbe(MembershipAction.SendProbe probe) {
        PeerMessage.Probe message = new PeerMessage.Probe(probe.sequence(), configuration.version(), probe.members());
        context.send(probe.to().name(), message);
    }

    private void install(FleetView view) {
        context.installFleetView(hostRegistry.withCandidates(view));
        viewListener.viewChanged(view);
        handle(new ConfigurationEvent.FleetChanged(view));
    }

    private void execute(ConfigurationAction action) {
        switch (action) {
            case ConfigurationAction.StartWatch watch -> startWatch(watch);
            case ConfigurationAction.RequestDocumentFromPeer request ->
                context.send(request.peer(), new PeerMessage.ConfigurationAsk(request.haveVersion()));
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
                .watch(OperatorConfiguration.INVENTORY_OBJECT, watch.afterVersion(), watch.timeout())
                .whenComplete((found, failure) -> storeWatchResult(found, failure));
    }

    private void storeWatchResult(Optional<VersionedObject> found, Throwable failure) {
        watchResult.set(
                failure != null
                        ? new ConfigurationEvent.WatchFailed()
                        : new ConfigurationEvent.WatchEnded(
                                found.map(object -> new ConfigurationContent(object.version(), object.content()))));
    }

    private void install(ConfigurationContent content) {
        currentContent = Optional.of(content);
        try {
            context.installInventory(
                    InventoryDocument.parseJson(content.document()).toInventory(content.version()));
        } catch (MangowallException failure) {
            CONFIGURATION_LOG.error(
                    failure,
                    "configuration version %s is invalid; the previous version stays in force",
                    content.version());
        }
    }

    @Override
    public void close() {
        if (membership != null) {
            CompletableFuture<Void> leaveHandled = new CompletableFuture<>();
            offer(() -> {
                handle(new MembershipEvent.LeaveEnded());
                leaveHandled.complete(null);
            });
            leaveHandled
                    .completeOnTimeout(null, TICK_PERIOD.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
        }
        duty.close();
    }
}
