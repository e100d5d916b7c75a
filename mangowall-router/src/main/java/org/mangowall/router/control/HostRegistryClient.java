package org.mangowall.router.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.membership.HostCandidate;
import org.mangowall.membership.MembershipEvent;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;
import org.mangowall.router.spi.ControlContext;

/** Keeps this router in the platform's list of hosts and reads the list rarely; failed calls back off with jitter. */
final class HostRegistryClient {

    private static final ComponentLog LOG = ComponentLog.of("membership");
    private static final Duration READ_PERIOD = Duration.ofSeconds(10);
    private static final Duration READ_PERIOD_WITHOUT_PEERS = Duration.ofSeconds(1);
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(20);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(20);

    private final ControlContext context;
    private final Backoff readBackoff;
    private final Backoff announceBackoff;
    private final AtomicReference<Runnable> readResult = new AtomicReference<>();
    private final AtomicReference<Runnable> announceResult = new AtomicReference<>();
    private Optional<MembershipEvent> pendingEvent = Optional.empty();
    private List<HostCandidate> candidates = List.of();
    private Instant nextRead;
    private Instant nextAnnounce;
    private boolean reading;
    private boolean announcing;
    private boolean leaving;

    HostRegistryClient(ControlContext context) {
        this.context = context;
        this.readBackoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, context.seed());
        this.announceBackoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, context.seed() + 1);
        this.nextRead = context.clock().instant();
        this.nextAnnounce = context.clock().instant();
    }

    void tick(boolean hasPeers) {
        runPending(readResult);
        runPending(announceResult);
        Instant now = context.clock().instant();
        if (!announcing && !nextAnnounce.isAfter(now)) {
            announce();
        }
        if (!reading && !nextRead.isAfter(now)) {
            read(hasPeers);
        }
    }

    /** Returns and clears the event of the last read. */
    Optional<MembershipEvent> takeEvent() {
        Optional<MembershipEvent> taken = pendingEvent;
        pendingEvent = Optional.empty();
        return taken;
    }

    private static void runPending(AtomicReference<Runnable> result) {
        Runnable task = result.getAndSet(null);
        if (task != null) {
            task.run();
        }
    }

    void announceLeaving() {
        leaving = true;
        announce();
    }

    /** Returns the view plus listed hosts that are not yet members, marked dead, so that messages can reach them. */
    FleetView withCandidates(FleetView view) {
        List<FleetMember> members = new ArrayList<>();
        for (HostCandidate host : candidates) {
            members.add(new FleetMember(
                    host.name(), 0, host.zone(), host.host(), host.callerPort(), host.peerPort(), MemberState.DEAD));
        }
        members.addAll(view.members().values());
        return FleetView.of(members);
    }

    private void announce() {
        announcing = true;
        FleetMember self = context.self();
        HostEntry entry = new HostEntry(
                self.name().value(), self.zone().value(), self.host(), self.callerPort(), self.peerPort(), leaving);
        context.platform()
                .announce(entry)
                .whenComplete((ignored, failure) -> announceResult.set(() -> announceEnded(failure)));
    }

    private void announceEnded(Throwable failure) {
        announcing = false;
        Duration delay = failure == null ? ANNOUNCE_PERIOD : announceBackoff.next();
        if (failure == null) {
            announceBackoff.reset();
        }
        nextAnnounce = context.clock().instant().plus(delay);
    }

    private void read(boolean hasPeers) {
        reading = true;
        context.platform()
                .hosts()
                .whenComplete((entries, failure) -> readResult.set(() -> readEnded(entries, failure, hasPeers)));
    }

    private void readEnded(List<HostEntry> entries, Throwable failure, boolean hasPeers) {
        reading = false;
        if (failure != null) {
            nextRead = context.clock().instant().plus(readBackoff.next());
            pendingEvent = Optional.of(new MembershipEvent.HostsUnavailable());
            return;
        }
        readBackoff.reset();
        nextRead = context.clock().instant().plus(hasPeers ? READ_PERIOD : READ_PERIOD_WITHOUT_PEERS);
        List<HostCandidate> listedHosts = new ArrayList<>();
        entries.stream()
                .filter(entry -> !entry.leaving())
                .forEach(entry -> toCandidate(entry).ifPresent(listedHosts::add));
        candidates = List.copyOf(listedHosts);
        pendingEvent = Optional.of(new MembershipEvent.HostsListed(candidates));
    }

    private static Optional<HostCandidate> toCandidate(HostEntry entry) {
        try {
            return Optional.of(new HostCandidate(
                    new RouterName(entry.name()),
                    new ZoneName(entry.zone()),
                    entry.host(),
                    entry.callerPort(),
                    entry.peerPort()));
        } catch (MangowallException failure) {
            LOG.warn("ignored a host with an invalid name in the platform's list");
            return Optional.empty();
        }
    }
}
