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

    void handleArrival(RequestDescription description) {
        Optional<FailureCode> fault = validate(description);
        if (fault.isPresent()) {
            context.refuse(description, fault.get(), RETRY_AFTER);
            return;
        }
        EntryRequest request = new EntryRequest(description);
        requests.put(description.identifier(), request);
        place(request, Optional.empty());
    }

    private Optional<FailureCode> validate(RequestDescription description) {
        if (context.inventory().version() == 0) {
            return Optional.of(FailureCode.NOT_READY);
        }
        if (context.inventory().workspace(description.workspace()).isEmpty()) {
            return Optional.of(FailureCode.WORKSPACE_UNKNOWN);
        }
        if (context.inventory().service(description.service()).isEmpty()) {
            return Optional.of(FailureCode.SERVICE_UNKNOWN);
        }
        return Optional.empty();
    }

    private void place(EntryRequest request, Optional<RoutingReason> reason) {
        RequestDescription description = request.description();
        if (context.assignment().openHomesOf(description.service()).isEmpty()) {
            refuse(request, FailureCode.NO_RUNNER);
            return;
        }
        Optional<HomeChooser.Choice> choice = chooser.choose(description, request.avoidedHomes());
        if (choice.isEmpty()) {
            request.clearHome();
            return;
        }
        passTo(request, choice.get().home(), reason.orElse(choice.get().reason()));
    }

    private void passTo(EntryRequest request, RouterName target, RoutingReason reason) {
        long incarnation =
                context.view().member(target).map(FleetMember::incarnation).orElse(0L);
        request.assignHome(target, incarnation);
        chooser.recordPassed(request.description().service(), target);
        if (target.equals(context.self())) {
            home.accept(request.description());
            return;
        }
        context.addAction(new DecisionAction.PassToHome(request.description(), target, reason));
    }

    private void refuse(EntryRequest request, FailureCode code) {
        request.clearHome();
        request.markRefused();
        context.refuse(request.description(), code, RETRY_AFTER);
    }

    void released(
            RequestIdentifier identifier,
            RouterName from,
            ReleaseReason reason,
            RequestDescription description,
            Optional<RouterName> moveTo) {
        EntryRequest request = requests.get(identifier);
        if (request == null || !from.equals(request.home())) {
            return;
        }
        chooser.recordEnded(description.service(), from);
        request.setDescription(description);
        request.clearHome();
        if (description.moves() > MAX_MOVES) {
            refuse(request, FailureCode.RETRIES_EXHAUSTED);
            return;
        }
        if (moveTo.filter(this::isReachable).isPresent()) {
            passTo(request, moveTo.get(), RoutingReason.PULLED);
            return;
        }
        if (reason != ReleaseReason.PULLED) {
            request.avoidedHomes().add(from);
        }
        place(request, Optional.of(RoutingReason.RETRY));
    }

    private boolean isReachable(RouterName router) {
        boolean self = router.equals(context.self());
        return self
                || context.view().member(router).filter(FleetMember::mayBeHome).isPresent();
    }

    void callerDisconnected(RequestIdentifier identifier) {
        EntryRequest request = removeRequest(identifier);
        if (request == null || request.home() == null) {
            return;
        }
        if (request.home().equals(context.self())) {
            home.cancel(identifier);
            return;
        }
        context.addAction(new DecisionAction.CancelAtHome(identifier, request.home()));
    }

    void answerBegan(RequestIdentifier identifier) {
        EntryRequest request = requests.get(identifier);
        if (request != null) {
            request.markAnswerBegun();
        }
    }

    void answerEnded(RequestIdentifier identifier) {
        removeRequest(identifier);
    }

    private EntryRequest removeRequest(RequestIdentifier identifier) {
        EntryRequest request = requests.remove(identifier);
        if (request != null && request.home() != null) {
            chooser.recordEnded(request.description().service(), request.home());
        }
        return request;
    }

    /**
     * Handles the loss of a home: repeatable requests whose answer has not begun move to another home; others fail, as
     * their outcome is unknown.
     */
    void peerLost(RouterName router, long incarnation) {
        List<EntryRequest> affected = requests.values().stream()
                .filter(request -> request.isAt(router, incarnation))
                .toList();
        for (EntryRequest request : affected) {
            chooser.recordEnded(request.description().service(), router);
            request.setDescription(request.description().afterUncertainAttempt());
            boolean mayMove = request.description().repeatable() && !request.hasAnswerBegun();
            if (!mayMove || request.incrementLostHomes() > MAX_LOST_HOMES) {
                refuse(request, FailureCode.HOME_LOST);
                continue;
            }
            request.avoidedHomes().add(router);
            place(request, Optional.of(RoutingReason.RETRY));
        }
    }

    /** Refuses requests that have been without a home for longer than their queue timeout and retries the others. */
    void tick() {
        long now = context.now();
        Duration elapsed = Duration.ofMillis(now - lastTick);
        lastTick = now;
        for (EntryRequest request : unassigned()) {
            RequestDescription description = request.description();
            Duration waited = description.waited().plus(elapsed);
            request.setDescription(description.afterWait(waited));
            Optional<Duration> timeout =
                    context.inventory().service(description.service()).map(Service::queueTimeout);
            if (timeout.isEmpty() || waited.compareTo(timeout.get()) > 0) {
                refuse(request, FailureCode.QUEUE_TIMEOUT);
            }
        }
        placeUnassigned();
    }

    private List<EntryRequest> unassigned() {
        List<EntryRequest> unassigned = new ArrayList<>();
        for (EntryRequest request : requests.values()) {
            if (request.home() == null && !request.isRefused()) {
                unassigned.add(request);
            }
        }
        return unassigned;
    }

    /** Retries the placement of all requests that have no home. */
    void placeUnassigned() {
        for (EntryRequest request : unassigned()) {
            request.avoidedHomes().clear();
            place(request, Optional.of(RoutingReason.RETRY));
        }
    }

    int size() {
        return requests.size();
    }
}
