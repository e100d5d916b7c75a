package org.mangowall.policy.core;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.ReleaseReason;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.core.PeerHomeStates.PeerHomeState;

/** Work stealing: moves queued requests to homes with free slots or to homes that would serve them sooner. */
final class PullRole {

    private static final long PULL_EXPIRY_MILLISECONDS = 100;
    private static final double ROUND_TRIP_MILLISECONDS = 8;
    private static final int MAX_MOVES_FOR_PULL = 8;

    private final CoreContext context;
    private final HomeRole home;
    private final PeerHomeStates peers;
    private final Map<ServiceName, Deque<Pull>> pendingPulls = new HashMap<>();
    private final Map<ServiceName, Set<RouterName>> unsatisfiedPullers = new HashMap<>();

    PullRole(CoreContext context, HomeRole home, PeerHomeStates peers) {
        this.context = context;
        this.home = home;
        this.peers = peers;
    }

    /** A pull sent to another home, with the number of requests that have not arrived yet. */
    private static final class Pull {

        private final long expiresAtMillis;
        private int requests;

        private Pull(long expiresAtMillis, int requests) {
            this.expiresAtMillis = expiresAtMillis;
            this.requests = requests;
        }
    }

    /**
     * Pulls requests if this home has spare capacity, or if other homes queue requests whose virtual time is clearly
     * smaller than that of the head of the queue here.
     */
    void pullIfUseful(ServiceState service, int dispatched) {
        if (!context.traits().exchangesState() || !service.pool().hasOpenRunner()) {
            return;
        }
        int pendingRequests = pendingRequests(service.name());
        int queuedAndPending = service.queue().size() + pendingRequests;
        int spareSlots = service.pool().freeSlots(context.now()) + prefetchCount(service) - queuedAndPending;
        if (spareSlots > 0) {
            pull(service, spareSlots, Double.POSITIVE_INFINITY);
            return;
        }
        if (dispatched > pendingRequests) {
            double belowVirtualTime =
                    service.queue().headVirtualTime() - service.ledger().meanCost();
            pull(service, dispatched - pendingRequests, belowVirtualTime);
        }
    }

    /** The number of requests expected to be dispatched during the round trip of a pull. */
    private static int prefetchCount(ServiceState service) {
        return (int) (ROUND_TRIP_MILLISECONDS / Math.max(1, service.dispatchInterval()));
    }

    private int pendingRequests(ServiceName service) {
        Deque<Pull> pulls = pendingPulls.get(service);
        if (pulls == null) {
            return 0;
        }
        pulls.removeIf(pull -> pull.requests <= 0 || pull.expiresAtMillis <= context.now());
        return pulls.stream().mapToInt(pull -> pull.requests).sum();
    }

    private void pull(ServiceState service, int wanted, double belowVirtualTime) {
        int remaining = wanted;
        List<PeerHomeState> sources = peers.statesOf(service.name()).stream()
                .filter(peer -> peer.waiting() > 0 && peer.headVirtualTime() < belowVirtualTime)
                .sorted(Comparator.comparingDouble(PeerHomeState::headVirtualTime))
                .toList();
        for (PeerHomeState source : sources) {
            if (remaining <= 0) {
                return;
            }
            int count = Math.min(remaining, source.waiting());
            source.recordPulled(count);
            remaining -= count;
            pendingPulls
                    .computeIfAbsent(service.name(), name -> new ArrayDeque<>())
                    .add(new Pull(context.now() + PULL_EXPIRY_MILLISECONDS, count));
            context.addAction(new DecisionAction.SendPull(source.home(), service.name(), count, belowVirtualTime));
        }
    }

    /** Counts a request that arrived here; a moved one is taken to answer the oldest pending pull. */
    void recordArrival(RequestDescription request) {
        Deque<Pull> pulls = pendingPulls.get(request.service());
        if (request.moves() > 0 && pulls != null && !pulls.isEmpty()) {
            pulls.getFirst().requests--;
        }
    }

    /** Handles a pull of another home: releases requests to it, those with the smallest virtual time first. */
    void handlePull(RouterName from, ServiceName serviceName, int slots, double belowVirtualTime) {
        ServiceState service = home.service(serviceName);
        Map<WorkspaceName, Double> virtualTimes = new HashMap<>();
        for (WorkspaceName workspace : service.queue().workspaces()) {
            virtualTimes.put(workspace, service.ledger().virtualTime(workspace));
        }
        int released = 0;
        while (released < slots) {
            Optional<WorkspaceName> next = workspaceWithSmallestVirtualTime(virtualTimes);
            if (next.isEmpty() || virtualTimes.get(next.get()) >= belowVirtualTime) {
                break;
            }
            WorkspaceName workspace = next.get();
            Optional<HomeRequest> movable = firstMovable(service, workspace);
            if (movable.isEmpty()) {
                virtualTimes.remove(workspace);
                continue;
            }
            double cost = service.ledger()
                    .estimateCost(workspace, movable.get().description().costHint());
            virtualTimes.merge(workspace, cost / context.weight(workspace), Double::sum);
            home.release(service, movable.get(), ReleaseReason.PULLED, Optional.of(from));
            released++;
        }
        if (released < slots) {
            unsatisfiedPullers
                    .computeIfAbsent(serviceName, name -> new TreeSet<>())
                    .add(from);
        }
    }

    private static Optional<WorkspaceName> workspaceWithSmallestVirtualTime(Map<WorkspaceName, Double> virtualTimes) {
        return virtualTimes.entrySet().stream()
                .min(Map.Entry.<WorkspaceName, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private static Optional<HomeRequest> firstMovable(ServiceState service, WorkspaceName workspace) {
        return service.queue().of(workspace).stream()
                .filter(request -> request.description().moves() < MAX_MOVES_FOR_PULL)
                .findFirst();
    }

    /** Returns and clears the homes that pulled more requests than they got, as their view of this home is outdated. */
    Set<RouterName> takeUnsatisfiedPullers(ServiceName service) {
        Set<RouterName> taken = unsatisfiedPullers.remove(service);
        return taken == null ? Set.of() : taken;
    }
}
