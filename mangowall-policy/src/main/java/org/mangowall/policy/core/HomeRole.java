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
import org.mangowall.policy.core.RunnerPool.HomedRunner;

/** The role of a home: it keeps the queues and limits of its runners and sends requests to them. */
final class HomeRole {

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(30);

    private final CoreContext context;
    private final Accounting accounting;
    private final Map<ServiceName, ServiceState> services = new TreeMap<>();
    private final Map<RequestIdentifier, HomeRequest> requests = new TreeMap<>();
    private final Set<ServiceName> touched = new TreeSet<>();
    private ReleaseListener localEntry;

    HomeRole(CoreContext context, Accounting accounting) {
        this.context = context;
        this.accounting = accounting;
    }

    /** Takes requests that are released to this router's own entry role. */
    interface ReleaseListener {

        /** A request came back without having run here. */
        void released(
                RequestIdentifier request,
                RouterName from,
                ReleaseReason reason,
                RequestDescription description,
                Optional<RouterName> moveTo);
    }

    void connect(ReleaseListener listener) {
        localEntry = listener;
    }

    Collection<ServiceState> services() {
        return services.values();
    }

    /** What this home keeps of a service, made at need; the present event is taken to change it. */
    ServiceState service(ServiceName name) {
        ServiceState service = services.computeIfAbsent(name, absent -> new ServiceState(context, absent));
        touched.add(name);
        return service;
    }

    /** The present event changes all services. */
    void touchAll() {
        touched.addAll(services.keySet());
    }

    /** The services that events have changed since the last call. */
    List<ServiceState> takeTouched() {
        if (touched.isEmpty()) {
            return List.of();
        }
        List<ServiceState> taken = touched.stream().map(services::get).toList();
        touched.clear();
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
        return service.pool().free(context.now()) - service.queue().size();
    }

    /** Takes over a change of the inventory, of the fleet, or of this router's own state. */
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

    /** Takes a request from its entry; one that is known already is a duplicate. */
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
        boolean fresh = description.moves() == 0;
        if (fresh && service.queue().sizeOf(description.workspace()) >= queueLimit(service)) {
            service.ledger().markBacklogged(description.workspace(), context.now());
            context.refuse(description, FailureCode.WORKSPACE_QUEUE_FULL, retryAfter(service));
            return;
        }
        accounting.arrive(service, description);
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
        if (estimate.compareTo(SHORTEST_RETRY_AFTER) < 0) {
            return SHORTEST_RETRY_AFTER;
        }
        return estimate.compareTo(LONGEST_RETRY_AFTER) > 0 ? LONGEST_RETRY_AFTER : estimate;
    }

    /** Sends what may be sent now; returns how many requests that were. */
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
        accounting.dispatched(service, request);
        if (request.attempts() == 0) {
            service.retryBudget().recordRequest();
        }
        request.send(choice.runner().runner().name(), now);
        choice.runner().limit().sent();
        service.countDispatch(now);
        RoutingReason reason = request.attempts() > 1 ? RoutingReason.RETRY : choice.reason();
        context.act(new DecisionAction.SendToRunner(request.description(), request.runner(), reason));
    }

    /** Gives a waiting request back to its entry. */
    void release(ServiceState service, HomeRequest request, ReleaseReason reason, Optional<RouterName> moveTo) {
        service.queue().remove(request);
        RequestIdentifier identifier = request.description().identifier();
        requests.remove(identifier);
        RequestDescription released = request.released(context.now());
        if (identifier.entry().equals(context.self())) {
            localEntry.released(identifier, context.self(), reason, released, moveTo);
            return;
        }
        context.act(new DecisionAction.ReleaseToEntry(released, reason, moveTo));
    }

    /** Ends a request that waits or whose try has just ended. */
    void refuse(ServiceState service, HomeRequest request, FailureCode code) {
        forget(service, request);
        context.refuse(request.description(), code, SHORTEST_RETRY_AFTER);
    }

    void forget(ServiceState service, HomeRequest request) {
        service.queue().remove(request);
        requests.remove(request.description().identifier());
    }

    /** The entry does not want a request any more: a waiting one ends, a running model call is stopped. */
    void cancel(RequestIdentifier identifier) {
        HomeRequest request = requests.get(identifier);
        if (request == null) {
            return;
        }
        ServiceState service = service(request.description().service());
        if (request.state() == RequestState.QUEUED) {
            forget(service, request);
            return;
        }
        boolean model = context.inventory()
                .service(service.name())
                .map(found -> found.kind() == ServiceKind.MODEL)
                .orElse(false);
        if (model) {
            context.act(new DecisionAction.CancelAtRunner(identifier, request.runner()));
        }
    }

    /** The entry of these requests is lost: nobody waits for their answers. */
    void peerLost(RouterName router, long incarnation) {
        List<RequestIdentifier> affected = requests.keySet().stream()
                .filter(identifier -> identifier.entry().equals(router) && identifier.incarnation() <= incarnation)
                .toList();
        affected.forEach(this::cancel);
    }

    void reported(RunnerReport report) {
        for (ServiceState service : services.values()) {
            HomedRunner runner = service.pool().find(report.runner());
            if (runner != null) {
                runner.limit().reported(report, context.now());
                touched.add(service.name());
            }
        }
    }

    /** Refuses what has waited for too long. */
    void expire() {
        touchAll();
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
