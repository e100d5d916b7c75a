package org.mangowall.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.membership.configuration.ConfigurationAction;
import org.mangowall.membership.configuration.ConfigurationContent;
import org.mangowall.membership.configuration.ConfigurationCore;
import org.mangowall.membership.configuration.ConfigurationEvent;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.memory.InMemoryPlatform;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;

/** A simulated fleet of membership cores on a manual clock; each message arrives one step of 100 ms later. */
final class SimulatedFleet {

    static final ObjectName INVENTORY = new ObjectName("configuration", "inventory");
    static final Duration STEP = Duration.ofMillis(100);

    final ManualClock clock = new ManualClock(Instant.ofEpochSecond(1_000_000));
    final Map<RouterName, MembershipCore> cores = new TreeMap<>();
    final Map<RouterName, FleetMember> selves = new TreeMap<>();
    final Map<RouterName, Long> bytesSent = new TreeMap<>();
    final Set<RouterName> paused = new TreeSet<>();
    final List<String> lost = new ArrayList<>();
    BiPredicate<FleetMember, FleetMember> isReachable = (from, to) -> true;
    final Map<RouterName, ConfigurationCore> configurations = new TreeMap<>();
    final InMemoryPlatform platform = new InMemoryPlatform(clock);
    boolean countsBytes;
    Consumer<String> transcript = line -> {};

    private final Map<RouterName, Deque<Runnable>> inboxes = new TreeMap<>();
    private final List<HostCandidate> hosts = new ArrayList<>();

    static SimulatedFleet started(int zones, int routersPerZone) {
        SimulatedFleet fleet = new SimulatedFleet();
        for (int zone = 1; zone <= zones; zone++) {
            for (int router = 1; router <= routersPerZone; router++) {
                fleet.start("zone-" + zone, "router-" + zone + "-" + router);
            }
        }
        fleet.publishHosts();
        return fleet;
    }

    RouterName start(String zone, String name) {
        RouterName router = new RouterName(name);
        FleetMember self =
                new FleetMember(router, clock.millis(), new ZoneName(zone), "10.0.0.1", 8080, 9090, MemberState.ALIVE);
        selves.put(router, self);
        hosts.removeIf(host -> host.name().equals(router));
        hosts.add(new HostCandidate(router, self.zone(), self.host(), self.callerPort(), self.peerPort()));
        cores.put(router, new MembershipCore(self, MembershipSettings.defaults(), clock));
        inboxes.put(router, new ArrayDeque<>());
        configurations.put(router, new ConfigurationCore(self, clock, name.hashCode()));
        return router;
    }

    void publishHosts() {
        cores.values().forEach(core -> core.handle(new MembershipEvent.HostsListed(hosts)));
    }

    /** Gives each router the whole member list, as an answer to its request would. */
    void deliverMemberLists() {
        List<FleetMember> members = List.copyOf(selves.values());
        cores.keySet().forEach(router -> {
            RouterName from = members.getFirst().name();
            handle(router, new MembershipEvent.ProbeAnswered(from, 0, members));
        });
    }

    void crash(RouterName router) {
        cores.remove(router);
        inboxes.remove(router);
    }

    void run(Duration time) {
        for (long step = 0; step < time.dividedBy(STEP); step++) {
            step();
        }
    }

    void step() {
        clock.advance(STEP);
        platform.expireWatches();
        Map<RouterName, List<Runnable>> arrived = new TreeMap<>();
        for (RouterName router : cores.keySet()) {
            if (!paused.contains(router)) {
                arrived.put(router, List.copyOf(inboxes.get(router)));
                inboxes.get(router).clear();
            }
        }
        arrived.forEach((router, deliveries) -> {
            deliveries.forEach(Runnable::run);
            handle(router, new MembershipEvent.ClockTicked());
            configure(router, new ConfigurationEvent.ClockTicked());
        });
    }

    void handle(RouterName router, MembershipEvent event) {
        for (MembershipAction action : cores.get(router).handle(event)) {
            carryOut(router, action);
        }
    }

    private void carryOut(RouterName router, MembershipAction action) {
        switch (action) {
            case MembershipAction.SendProbe probe ->
                send(
                        router,
                        probe.to().name(),
                        new PeerMessage.Probe(probe.sequence(), version(router), probe.members()),
                        new MembershipEvent.ProbeReceived(router, probe.sequence(), probe.members()));
            case MembershipAction.SendProbeAnswer answer ->
                send(
                        router,
                        answer.to(),
                        new PeerMessage.ProbeAnswer(answer.sequence(), version(router), answer.members()),
                        new MembershipEvent.ProbeAnswered(router, answer.sequence(), answer.members()));
            case MembershipAction.RequestMembers request ->
                send(router, request.to(), new PeerMessage.MembersAsk(), new MembershipEvent.MembersRequested(router));
            case MembershipAction.ReportLost report -> {
                lost.add(router + " lost " + report.router());
                transcript.accept(timestamp() + router + " lost " + report.router());
            }
            case MembershipAction.ChangeView view -> {
                configure(router, new ConfigurationEvent.FleetChanged(view.view()));
                transcript.accept(timestamp() + router + " sees "
                        + describe(view.view().members().values()));
            }
            case MembershipAction.ReportJoined joined -> transcript.accept(timestamp() + router + " joined");
            case MembershipAction.ReportSuperseded superseded ->
                transcript.accept(timestamp() + router + " superseded");
        }
    }

    private String timestamp() {
        return (clock.millis() - 1_000_000_000L) + " ms: ";
    }

    private static String describe(Iterable<FleetMember> members) {
        StringBuilder text = new StringBuilder();
        members.forEach(member ->
                text.append(member.name()).append('=').append(member.state()).append(' '));
        return text.toString().trim();
    }

    private void countBytes(RouterName from, PeerMessage message) {
        if (countsBytes) {
            int bytes = PeerFrameCodec.encode(new PeerFrame(1, message)).length + PeerFrameCodec.LENGTH_BYTES;
            bytesSent.merge(from, (long) bytes, Long::sum);
        }
    }

    private void send(RouterName from, RouterName to, PeerMessage message, MembershipEvent event) {
        countBytes(from, message);
        boolean isDelivered =
                Optional.ofNullable(inboxes.get(to)).isPresent() && isReachable.test(selves.get(from), selves.get(to));
        if (isDelivered) {
            long version = version(from);
            inboxes.get(to).add(() -> {
                handle(to, event);
                configure(to, new ConfigurationEvent.PeerVersionSeen(from, version));
            });
        }
    }

    long version(RouterName router) {
        return configurations.get(router).version();
    }

    void configure(RouterName router, ConfigurationEvent event) {
        for (ConfigurationAction action : configurations.get(router).handle(event)) {
            switch (action) {
                case ConfigurationAction.StartWatch watch ->
                    platform.watch(INVENTORY, watch.afterVersion(), watch.timeout())
                            .whenComplete((found, failure) -> deliverWatchResult(router, found, failure));
                case ConfigurationAction.RequestDocumentFromPeer request ->
                    sendConfiguration(
                            router,
                            request.peer(),
                            new PeerMessage.ConfigurationAsk(request.haveVersion()),
                            new ConfigurationEvent.ContentRequested(router, request.haveVersion()));
                case ConfigurationAction.SendContent send ->
                    sendConfiguration(
                            router,
                            send.peer(),
                            new PeerMessage.ConfigurationContent(
                                    send.content().version(), send.content().document()),
                            new ConfigurationEvent.ContentReceived(send.content()));
                case ConfigurationAction.InstallContent install ->
                    transcript.accept(timestamp() + router + " installs version "
                            + install.content().version());
            }
        }
    }

    private void deliverWatchResult(RouterName router, Optional<VersionedObject> found, Throwable failure) {
        if (!inboxes.containsKey(router)) {
            return;
        }
        ConfigurationEvent event = failure != null
                ? new ConfigurationEvent.WatchFailed()
                : new ConfigurationEvent.WatchEnded(
                        found.map(object -> new ConfigurationContent(object.version(), object.content())));
        inboxes.get(router).add(() -> configure(router, event));
    }

    private void sendConfiguration(RouterName from, RouterName to, PeerMessage message, ConfigurationEvent event) {
        countBytes(from, message);
        if (inboxes.containsKey(to) && isReachable.test(selves.get(from), selves.get(to))) {
            inboxes.get(to).add(() -> configure(to, event));
        }
    }

    /** Whether all other running routers see a router in the given state; an unknown router counts as dead. */
    boolean allSee(RouterName router, MemberState state) {
        return cores.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(router))
                .allMatch(entry -> entry.getValue()
                        .view()
                        .member(router)
                        .map(member -> member.state() == state)
                        .orElse(state == MemberState.DEAD));
    }

    /** Whether all running routers see the given incarnation of a router. */
    boolean allKnow(RouterName router, long incarnation) {
        return cores.values().stream()
                .allMatch(core -> core.view()
                        .member(router)
                        .filter(member -> member.incarnation() == incarnation)
                        .isPresent());
    }

    /** Whether all running routers see exactly the running routers as alive. */
    boolean isConverged() {
        return cores.values().stream().allMatch(core -> {
            Set<RouterName> alive = new TreeSet<>();
            core.view().members().values().stream()
                    .filter(member -> member.state() == MemberState.ALIVE)
                    .forEach(member -> alive.add(member.name()));
            return alive.equals(cores.keySet());
        });
    }

    /** Whether all running routers have at least the given configuration version. */
    boolean allHaveVersion(long minimumVersion) {
        return cores.keySet().stream().allMatch(router -> version(router) >= minimumVersion);
    }

    /** Runs until the condition holds and returns the time taken; empty if it did not hold within the bound. */
    Optional<Duration> runUntil(BooleanSupplier condition, Duration bound) {
        Instant start = clock.instant();
        while (!condition.getAsBoolean()) {
            if (Duration.between(start, clock.instant()).compareTo(bound) >= 0) {
                return Optional.empty();
            }
            step();
        }
        return Optional.of(Duration.between(start, clock.instant()));
    }
}
