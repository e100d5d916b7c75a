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

/** Entry role of a router: chooses a home for each caller's request and tracks the request until it ends. */
final class EntryRole {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_MOVES = 32;
    private static final int MAX_LOST_HOMES = 2;

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

    void handleArrival(RequestDescription request) {
        Optional<FailureCode> fault = validate(request);
        if (fault.isPresent()) {
            context.refuse(request, fault.get(), RETRY_AFTER);
            return;
        }
        EntryRequest entry = new EntryRequest(request);
        requests.put(request.identifier(), entry);
        place(entry, Optional.empty());
    }

    private Optional<FailureCode> validate(RequestDescription request) {
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
        Optional<HomeChooser.Choice> choice = chooser.choose(request, entry.avoidedHomes());
        if (choice.isEmpty()) {
            entry.clearHome();
            return;
        }
        passTo(entry, choice.get().home(), reason.orElse(choice.get().reason()));
    }

    private void passTo(EntryRequest entry, RouterName target, RoutingReason reason) {
        long incarnation =
                context.view().member(target).map(FleetMember::incarnation).orElse(0L);
        entry.assignHome(target, incarnation);
        chooser.recordPassed(entry.description().service(), target);
        if (target.equals(context.self())) {
            home.accept(entry.description());
            return;
        }
        context.addAction(new DecisionAction.PassToHome(entry.description(), target, reason));
    }

    private void refuse(EntryRequest entry, FailureCode code) {
        entry.clearHome();
        entry.markRefused();
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
        chooser.recordEnded(description.service(), from);
        entry.setDescription(description);
        entry.clearHome();
        if (description.moves() > MAX_MOVES) {
            refuse(entry, FailureCode.RETRIES_EXHAUSTED);
            return;
        }
        if (moveTo.filter(this::isReachable).isPresent()) {
            passTo(entry, moveTo.get(), RoutingReason.PULLED);
            return;
        }
        if (reason != ReleaseReason.PULLED) {
            entry.avoidedHomes().add(from);
        }
        place(entry, Optional.of(RoutingReason.RETRY));
    }

    private boolean isReachable(RouterName router) {
        boolean self = router.equals(context.self());
        return self
                || context.view().member(router).filter(FleetMember::mayBeHome).isPresent();
    }

    void callerDisconnected(RequestIdentifier identifier) {
        EntryRequest entry = removeRequest(identifier);
        if (entry == null || entry.home() == null) {
            return;
        }
        if (entry.home().equals(context.self())) {
            home.cancel(identifier);
            return;
        }
        context.addAction(new DecisionAction.CancelAtHome(identifier, entry.home()));
    }

    void answerBegan(RequestIdentifier identifier) {
        EntryRequest entry = requests.get(identifier);
        if (entry != null) {
            entry.markAnswerBegun();
        }
    }

    void answerEnded(RequestIdentifier identifier) {
        removeRequest(identifier);
    }

    private EntryRequest removeRequest(RequestIdentifier identifier) {
        EntryRequest entry = requests.remove(identifier);
        if (entry != null && entry.home() != null) {
            chooser.recordEnded(entry.description().service(), entry.home());
        }
        return entry;
    }

    /**
     * Handles the loss of a home: repeatable requests whose answer has not begun move to another home; others fail, as
     * their outcome is unknown.
     */
    void peerLost(RouterName router, long incarnation) {
        List<EntryRequest> affected = requests.values().stream()
                .filter(entry -> entry.isAt(router, incarnation))
                .toList();
        for (EntryRequest entry : affected) {
            chooser.recordEnded(entry.description().service(), router);
            entry.setDescription(entry.description().afterUncertainAttempt());
            boolean mayMove = entry.description().repeatable() && !entry.hasAnswerBegun();
            if (!mayMove || entry.incrementLostHomes() > MAX_LOST_HOMES) {
                refuse(entry, FailureCode.HOME_LOST);
                continue;
            }
            entry.avoidedHomes().add(router);
            place(entry, Optional.of(RoutingReason.RETRY));
        }
    }

    /** Refuses requests that have been without a home for longer than their queue timeout and retries the others. */
    void tick() {
        long now = context.now();
        Duration elapsed = Duration.ofMillis(now - lastTick);
        lastTick = now;
        for (EntryRequest entry : unassigned()) {
            RequestDescription request = entry.description();
            Duration waited = request.waited().plus(elapsed);
            entry.setDescription(request.afterWait(waited));
            Optional<Duration> timeout =
                    context.inventory().service(request.service()).map(Service::queueTimeout);
            if (timeout.isEmpty() || waited.compareTo(timeout.get()) > 0) {
                refuse(entry, FailureCode.QUEUE_TIMEOUT);
            }
        }
        placeUnassigned();
    }

    private List<EntryRequest> unassigned() {
        List<EntryRequest> unassigned = new ArrayList<>();
        for (EntryRequest entry : requests.values()) {
            if (entry.home() == null && !entry.isRefused()) {
                unassigned.add(entry);
            }
        }
        return unassigned;
    }

    /** Retries the placement of all requests that have no home. */
    void placeUnassigned() {
        for (EntryRequest entry : unassigned()) {
            entry.avoidedHomes().clear();
            place(entry, Optional.of(RoutingReason.RETRY));
        }
    }

    int size() {
        return requests.size();
    }
}
