package org.mangowall.policy.core;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.RunnerReport;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.core.RunnerPool.PooledRunner;

/** Home role of a router: keeps the queues and the limits of its runners and dispatches requests to them. */
final class HomeRole {

    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    private final CoreContext context;
    private final CostAccounting accounting;
    private final Map<ServiceName, ServiceState> services = new TreeMap<>();
    private final Map<RequestIdentifier, HomeRequest> requests = new TreeMap<>();
    private final Set<ServiceName> changedServices = new TreeSet<>();
    private ReleaseListener releaseListener;

    HomeRole(CoreContext context, CostAccounting accounting) {
        this.context = context;
        this.accounting = accounting;
    }

    /** Receives the requests that this home returns to the entry role of the same router. */
    interface ReleaseListener {

        /** Handles a returned request; its description tells whether it may have run. */
        void released(
                RequestIdentifier request,
                RouterName from,
                ReleaseReason reason,
                RequestDescription description,
                Optional<RouterName> moveTo);
    }

    void setReleaseListener(ReleaseListener listener) {
        releaseListener = listener;
    }

    Collection<ServiceState> services() {
        return services.values();
    }

    /** Returns the state of a service, created if absent, and marks it as changed by the current event. */
    ServiceState service(ServiceName name) {
        ServiceState service = services.computeIfAbsent(name, newName -> new ServiceState(context, newName));
        changedServices.add(name);
        return service;
    }

    /** Marks all services as changed by the current event. */
    void markAllChanged() {
        changedServices.addAll(services.keySet());
    }

    /** Returns the services marked as changed and clears the marks. */
    List<ServiceState> takeChangedServices() {
        if (changedServices.isEmpty()) {
            return List.of();
        }
        List<ServiceState> taken = changedServices.stream().map(services::get).toList();
        changedServices.clear();
        return taken;
    }

    HomeRequest find(RequestIdentifier identifier) {
        return requests.get(identifier);
    }

    int freeSlots(ServiceName name) {
        ServiceState service = services.get(name);
        if (service == null) {
            return 0;
        }
        return service.pool().freeSlots(context.now()) - service.queue().size();
    }

    /**
     * Applies a change of the inventory, of the fleet, or of this router's own state: updates the runners and returns
     * queued requests that only other homes can serve.
     */
    void reassign() {
        long now = context.now();
        for (ServiceName name : context.inventory().services().keySet()) {
            service(name).pool().update(now);
        }
        for (ServiceState service : services.values()) {
            boolean served = service.pool().hasOpenRunner();
            boolean servedElsewhere =
                    !context.assignment().openHomesOf(service.name()).isEmpty();
            if (!served && servedElsewhere) {
                ReleaseReason reason = context.isLeaving() ? ReleaseReason.HOME_LEAVING : ReleaseReason.NO_RUNNER_HERE;
                service.queue().all().forEach(request -> release(service, request, reason, Optional.empty()));
            }
        }
    }

    /** Accepts a request from its entry; ignores duplicates. */
    void accept(RequestDescription description) {
        if (requests.containsKey(description.identifier())) {
            return;
        }
        ServiceState service = service(description.service());
        HomeRequest request = new HomeRequest(description, context.now());
        if (!service.pool().hasOpenRunner()) {
            ReleaseReason reason = context.isLeaving() ? ReleaseReason.HOME_LEAVING : ReleaseReason.NO_RUNNER_HERE;
            requests.put(description.identifier(), request);
            release(service, request, reason, Optional.empty());
            return;
        }
        boolean isNew = description.moves() == 0;
        if (isNew && service.queue().sizeOf(description.workspace()) >= queueLimit(service)) {
            service.ledger().markBacklogged(description.workspace(), context.now());
            context.refuse(description, FailureCode.WORKSPACE_QUEUE_FULL, retryAfter(service));
            return;
        }
        accounting.recordArrival(service, description);
        requests.put(description.identifier(), request);
        service.queue().add(request);
    }

    private int queueLimit(ServiceState service) {
        return context.inventory()
                .service(service.name())
                .map(Service::workspaceQueueLimit)
                .orElse(0);
    }

    private static Duration retryAfter(ServiceState service) {
        double milliseconds = service.queue().size() * service.dispatchInterval();
        Duration estimate = Duration.ofMillis((long) milliseconds);
        if (estimate.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return estimate.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : estimate;
    }

    /** Sends queued requests while runners have free slots; returns the number of requests sent. */
    int dispatch(ServiceState service) {
        long now = context.now();
        int sent = 0;
        while (!service.queue().isEmpty()) {
            HomeRequest head = service.queue().head();
            RunnerPool.Choice choice = service.pool().choose(head, now);
            if (choice == null) {
                break;
            }
            send(service, head, choice, now);
            sent++;
        }
        return sent;
    }

    private void send(ServiceState service, HomeRequest request, RunnerPool.Choice choice, long now) {
        service.queue().remove(request);
        accounting.recordDispatch(service, request);
        if (request.attempts() == 0) {
            service.retryBudget().recordRequest();
        }
        request.markSent(choice.runner().runner().name(), now);
        choice.runner().limit().recordSent();
        service.recordDispatchTime(now);
        RoutingReason reason = request.attempts() > 1 ? RoutingReason.RETRY : choice.reason();
        context.addAction(new DecisionAction.SendToRunner(request.description(), request.runner(), reason));
    }

    /** Returns a queued request to its entry. */
    void release(ServiceState service, HomeRequest request, ReleaseReason reason, Optional<RouterName> moveTo) {
        service.queue().remove(request);
        RequestIdentifier identifier = request.description().identifier();
        requests.remove(identifier);
        RequestDescription released = request.releasedDescription(context.now());
        if (identifier.entry().equals(context.self())) {
            releaseListener.released(identifier, context.self(), reason, released, moveTo);
            return;
        }
        context.addAction(new DecisionAction.ReleaseToEntry(released, reason, moveTo));
    }

    /** Refuses a request that is queued or whose attempt has just ended. */
    void refuse(ServiceState service, HomeRequest request, FailureCode code) {
        removeRequest(service, request);
        context.refuse(request.description(), code, MIN_RETRY_AFTER);
    }

    void removeRequest(ServiceState service, HomeRequest request) {
        service.queue().remove(request);
        requests.remove(request.description().identifier());
    }

    /** Cancels a request for its entry: removes it if it is queued, stops it at the runner if it is a model call. */
    void cancel(RequestIdentifier identifier) {
        HomeRequest request = requests.get(identifier);
        if (request == null) {
            return;
        }
        ServiceState service = service(request.description().service());
        if (request.state() == RequestState.QUEUED) {
            removeRequest(service, request);
            return;
        }
        boolean isModelCall = context.inventory()
                .service(service.name())
                .map(found -> found.kind() == ServiceKind.MODEL)
                .orElse(false);
        if (isModelCall) {
            context.addAction(new DecisionAction.CancelAtRunner(identifier, request.runner()));
        }
    }

    /** Cancels the requests of a lost entry, as nobody waits for their answers. */
    void peerLost(RouterName router, long incarnation) {
        List<RequestIdentifier> affected = requests.keySet().stream()
                .filter(identifier -> identifier.entry().equals(router) && identifier.incarnation() <= incarnation)
                .toList();
        affected.forEach(this::cancel);
    }

    void reported(RunnerReport report) {
        for (ServiceState service : services.values()) {
            PooledRunner runner = service.pool().find(report.runner());
            if (runner != null) {
                runner.limit().applyReport(report, context.now());
                changedServices.add(service.name());
            }
        }
    }

    /** Refuses queued requests that exceed the queue timeout of their service. */
    void refuseExpired() {
        markAllChanged();
        long now = context.now();
        for (ServiceState service : services.values()) {
            Duration timeout = context.inventory()
                    .service(service.name())
                    .map(Service::queueTimeout)
                    .orElse(Duration.ZERO);
            for (HomeRequest request : service.queue().waitingSinceBefore(now - timeout.toMillis())) {
                service.ledger().markBacklogged(request.description().workspace(), now);
                refuse(service, request, FailureCode.QUEUE_TIMEOUT);
            }
        }
    }
}
