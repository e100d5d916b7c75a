package org.mangowall.policy.core;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.inventory.Service;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.fleet.FleetMember;

/** The role of a router that met the caller: it finds a home for each request and follows it until it ends. */
final class EntryRole {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int LARGEST_MOVES = 32;
    private static final int LOST_HOMES_BORNE = 2;

    private final CoreContext context;
    private final HomeRole home;
    private final HomeChooser chooser;
    private final Map<RequestIdentifier, EntryRequest> requests = new TreeMap<>();
    private long lastTick;

    EntryRole(CoreContext context, HomeRole home, HomeChooser chooser) {
        this.context = context;
        this.home = home;
        this.chooser = chooser;
        this.lastTick = context.now();
    }

    void arrive(RequestDescription request) {
        Optional<FailureCode> fault = check(request);
        if (fault.isPresent()) {
            context.refuse(request, fault.get(), RETRY_AFTER);
            return;
        }
        EntryRequest entry = new EntryRequest(request);
        requests.put(request.identifier(), entry);
        place(entry, Optional.empty());
    }

    private Optional<FailureCode> check(RequestDescription request) {
        if (context.inventory().version() == 0) {
            return Optional.of(FailureCode.NOT_READY);
        }
        if (context.inventory().workspace(request.workspace()).isEmpty()) {
            return Optional.of(FailureCode.WORKSPACE_UNKNOWN);
        }
        if (context.inventory().service(request.service()).isEmpty()) {
            return Optional.of(FailureCode.SERVICE_UNKNOWN);
        }
        return Optional.empty();
    }

    private void place(EntryRequest entry, Optional<RoutingReason> reason) {
        RequestDescription request = entry.description();
        if (context.assignment().openHomesOf(request.service()).isEmpty()) {
            refuse(entry, FailureCode.NO_RUNNER);
            return;
        }
        Optional<HomeChooser.Choice> choice = chooser.choose(request, entry.avoided());
        if (choice.isEmpty()) {
            entry.leaveHome();
            return;
        }
        pass(entry, choice.get().home(), reason.orElse(choice.get().reason()));
    }

    private void pass(EntryRequest entry, RouterName target, RoutingReason reason) {
        long incarnation =
                context.view().member(target).map(FleetMember::incarnation).orElse(0L);
        entry.moveTo(target, incarnation);
        chooser.passed(entry.description().service(), target);
        if (target.equals(context.self())) {
            home.accept(entry.description());
            return;
        }
        context.act(new DecisionAction.PassToHome(entry.description(), target, reason));
    }

    private void refuse(EntryRequest entry, FailureCode code) {
        entry.leaveHome();
        entry.refuse();
        context.refuse(entry.description(), code, RETRY_AFTER);
    }

    void released(
            RequestIdentifier identifier,
            RouterName from,
            ReleaseReason reason,
            RequestDescription description,
            Optional<RouterName> moveTo) {
        EntryRequest entry = requests.get(identifier);
        if (entry == null || !from.equals(entry.home())) {
            return;
        }
        chooser.ended(description.service(), from);
        entry.describe(description);
        entry.leaveHome();
        if (description.moves() > LARGEST_MOVES) {
            refuse(entry, FailureCode.RETRIES_EXHAUSTED);
            return;
        }
        if (moveTo.filter(this::isReachable).isPresent()) {
            pass(entry, moveTo.get(), RoutingReason.PULLED);
            return;
        }
        if (reason != ReleaseReason.PULLED) {
            entry.avoided().add(from);
        }
        place(entry, Optional.of(RoutingReason.RETRY));
    }

    private boolean isReachable(RouterName router) {
        boolean self = router.equals(context.self());
        return self
                || context.view().member(router).filter(FleetMember::mayBeHome).isPresent();
    }

    void callerLeft(RequestIdentifier identifier) {
        EntryRequest entry = forget(identifier);
        if (entry == null || entry.home() == null) {
            return;
        }
        if (entry.home().equals(context.self())) {
            home.cancel(identifier);
            return;
        }
        context.act(new DecisionAction.CancelAtHome(identifier, entry.home()));
    }

    void answerBegan(RequestIdentifier identifier) {
        EntryRequest entry = requests.get(identifier);
        if (entry != null) {
            entry.beginAnswer();
        }
    }

    void answerEnded(RequestIdentifier identifier) {
        forget(identifier);
    }

    private EntryRequest forget(RequestIdentifier identifier) {
        EntryRequest entry = requests.remove(identifier);
        if (entry != null && entry.home() != null) {
            chooser.ended(entry.description().service(), entry.home());
        }
        return entry;
    }

    /** Another router is lost: what it had moves if it may, else its outcome is unknown. */
    void peerLost(RouterName router, long incarnation) {
        List<EntryRequest> affected = requests.values().stream()
                .filter(entry -> entry.isAt(router, incarnation))
                .toList();
        for (EntryRequest entry : affected) {
            chooser.ended(entry.description().service(), router);
            entry.describe(entry.description().afterUncertainTry());
            boolean mayMove = entry.description().repeatable() && !entry.answerBegan();
            if (!mayMove || entry.countLostHome() > LOST_HOMES_BORNE) {
                refuse(entry, FailureCode.HOME_LOST);
                continue;
            }
            entry.avoided().add(router);
            place(entry, Optional.of(RoutingReason.RETRY));
        }
    }

    /** Time has passed: refuses the requests that have been without a home for too long, tries the others again. */
    void tick() {
        long now = context.now();
        Duration step = Duration.ofMillis(now - lastTick);
        lastTick = now;
        for (EntryRequest entry : parked()) {
            RequestDescription request = entry.description();
            Duration waited = request.waited().plus(step);
            entry.describe(request.afterWait(waited));
            Optional<Duration> timeout =
                    context.inventory().service(request.service()).map(Service::queueTimeout);
            if (timeout.isEmpty() || waited.compareTo(timeout.get()) > 0) {
                refuse(entry, FailureCode.QUEUE_TIMEOUT);
            }
        }
        placeParked();
    }

    private List<EntryRequest> parked() {
        List<EntryRequest> parked = new ArrayList<>();
        for (EntryRequest entry : requests.values()) {
            if (entry.home() == null && !entry.isRefused()) {
                parked.add(entry);
            }
        }
        return parked;
    }

    /** Tries again for the requests that have no home. */
    void placeParked() {
        for (EntryRequest entry : parked()) {
            entry.avoided().clear();
            place(entry, Optional.of(RoutingReason.RETRY));
        }
    }

    int size() {
        return requests.size();
    }
}
