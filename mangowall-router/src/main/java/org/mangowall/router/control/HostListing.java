package org.mangowall.router.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.PartLog;
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

/** Reads the platform's list of hosts and keeps this router in it; calls are rare and spread by jitter. */
final class HostListing {

    private static final PartLog LOG = PartLog.of("membership");
    private static final Duration READ_PERIOD = Duration.ofSeconds(10);
    private static final Duration READ_PERIOD_WHILE_ALONE = Duration.ofSeconds(1);
    private static final Duration ANNOUNCE_PERIOD = Duration.ofSeconds(20);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(20);

    private final ControlContext context;
    private final Backoff readBackoff;
    private final Backoff announceBackoff;
    private final AtomicReference<Runnable> readResult = new AtomicReference<>();
    private final AtomicReference<Runnable> announceResult = new AtomicReference<>();
    private Optional<MembershipEvent> news = Optional.empty();
    private List<HostCandidate> candidates = List.of();
    private Instant nextRead;
    private Instant nextAnnounce;
    private boolean reading;
    private boolean announcing;
    private boolean leaving;

    HostListing(ControlContext context) {
        this.context = context;
        this.readBackoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, context.seed());
        this.announceBackoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, context.seed() + 1);
        this.nextRead = context.clock().instant();
        this.nextAnnounce = context.clock().instant();
    }

    void tick(boolean inCompany) {
        runOnce(readResult);
        runOnce(announceResult);
        Instant now = context.clock().instant();
        if (!announcing && !nextAnnounce.isAfter(now)) {
            announce();
        }
        if (!reading && !nextRead.isAfter(now)) {
            read(inCompany);
        }
    }

    /** What the last read told, once. */
    Optional<MembershipEvent> takeNews() {
        Optional<MembershipEvent> taken = news;
        news = Optional.empty();
        return taken;
    }

    private static void runOnce(AtomicReference<Runnable> result) {
        Runnable step = result.getAndSet(null);
        if (step != null) {
            step.run();
        }
    }

    void announceLeaving() {
        leaving = true;
        announce();
    }

    /** The view with listed hosts that are no members yet, as dead, so that they can be reached. */
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
                .whenComplete((nothing, failure) -> announceResult.set(() -> announced(failure)));
    }

    private void announced(Throwable failure) {
        announcing = false;
        Duration delay = failure == null ? ANNOUNCE_PERIOD : announceBackoff.next();
        if (failure == null) {
            announceBackoff.reset();
        }
        nextAnnounce = context.clock().instant().plus(delay);
    }

    private void read(boolean inCompany) {
        reading = true;
        context.platform()
                .hosts()
                .whenComplete((entries, failure) -> readResult.set(() -> listed(entries, failure, inCompany)));
    }

    private void listed(List<HostEntry> entries, Throwable failure, boolean inCompany) {
        reading = false;
        if (failure != null) {
            nextRead = context.clock().instant().plus(readBackoff.next());
            news = Optional.of(new MembershipEvent.HostsUnavailable());
            return;
        }
        readBackoff.reset();
        nextRead = context.clock().instant().plus(inCompany ? READ_PERIOD : READ_PERIOD_WHILE_ALONE);
        List<HostCandidate> listed = new ArrayList<>();
        entries.stream()
                .filter(entry -> !entry.leaving())
                .forEach(entry -> candidate(entry).ifPresent(listed::add));
        candidates = List.copyOf(listed);
        news = Optional.of(new MembershipEvent.HostsListed(candidates));
    }

    private static Optional<HostCandidate> candidate(HostEntry entry) {
        try {
            return Optional.of(new HostCandidate(
                    new RouterName(entry.name()),
                    new ZoneName(entry.zone()),
                    entry.host(),
                    entry.callerPort(),
                    entry.peerPort()));
        } catch (MangowallException failure) {
            LOG.warn("the platform lists a host with a name that is not valid");
            return Optional.empty();
        }
    }
}
