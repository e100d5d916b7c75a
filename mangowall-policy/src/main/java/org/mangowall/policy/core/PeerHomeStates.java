package org.mangowall.policy.core;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;

/** The latest state of each other home, by service. */
final class PeerHomeStates {

    private final Map<ServiceName, Map<RouterName, PeerHomeState>> statesByService = new TreeMap<>();

    /** Records an exchange; returns false if it is not newer than the recorded one. */
    boolean record(ServiceExchange exchange, long now) {
        Map<RouterName, PeerHomeState> byHome =
                statesByService.computeIfAbsent(exchange.service(), name -> new TreeMap<>());
        PeerHomeState known = byHome.get(exchange.from());
        if (known != null && !known.isOlderThan(exchange)) {
            return false;
        }
        byHome.put(exchange.from(), new PeerHomeState(exchange, now));
        return true;
    }

    /** The states of all other homes of a service. */
    Collection<PeerHomeState> statesOf(ServiceName service) {
        return statesByService.getOrDefault(service, Map.of()).values();
    }

    void removePeer(RouterName router) {
        statesByService.values().forEach(byHome -> byHome.remove(router));
    }

    /** Removes the states of routers that are no longer homes of a service. */
    void retainHomes(ServiceName service, Collection<RouterName> homes) {
        Map<RouterName, PeerHomeState> byHome = statesByService.get(service);
        if (byHome != null) {
            byHome.keySet().removeIf(router -> !homes.contains(router));
        }
    }

    /**
     * The free slots of a home, less the requests queued there and those passed to it since its last exchange; empty if
     * no exchange was received.
     */
    OptionalInt freeSlots(ServiceName service, RouterName home) {
        PeerHomeState found = statesByService.getOrDefault(service, Map.of()).get(home);
        return found == null ? OptionalInt.empty() : OptionalInt.of(found.freeSlots());
    }

    void recordPassed(ServiceName service, RouterName home) {
        PeerHomeState found = statesByService.getOrDefault(service, Map.of()).get(home);
        if (found != null) {
            found.recordPassed();
        }
    }

    /** The number of requests of a workspace that wait at other homes. */
    int waiting(ServiceName service, WorkspaceName workspace) {
        int total = 0;
        for (PeerHomeState peer : statesOf(service)) {
            total += peer.waiting(workspace);
        }
        return total;
    }

    /** Whether another home has free slots according to its last exchange. */
    boolean hasFreeSlots(ServiceName service) {
        return statesOf(service).stream().anyMatch(peer -> peer.freeSlots() > 0);
    }

    /** The smallest virtual time of the workspaces that wait at other homes; infinity if none waits. */
    double smallestHeadVirtualTime(ServiceName service) {
        double smallest = Double.POSITIVE_INFINITY;
        for (PeerHomeState peer : statesOf(service)) {
            if (peer.waiting() > 0) {
                smallest = Math.min(smallest, peer.headVirtualTime());
            }
        }
        return smallest;
    }

    /** The latest exchange of one home, and the requests passed to it and pulled from it since. */
    static final class PeerHomeState {

        private final ServiceExchange exchange;
        private final long receivedAt;
        private final Map<WorkspaceName, Integer> waitingByWorkspace = new TreeMap<>();
        private int passedSince;
        private int pulledSince;

        PeerHomeState(ServiceExchange exchange, long receivedAt) {
            this.exchange = exchange;
            this.receivedAt = receivedAt;
            for (WorkspaceShare share : exchange.shares()) {
                if (share.waiting() > 0) {
                    waitingByWorkspace.put(share.workspace(), share.waiting());
                }
            }
        }

        private boolean isOlderThan(ServiceExchange other) {
            if (other.incarnation() != exchange.incarnation()) {
                return other.incarnation() > exchange.incarnation();
            }
            return other.sequence() > exchange.sequence();
        }

        RouterName home() {
            return exchange.from();
        }

        long receivedAt() {
            return receivedAt;
        }

        int waiting() {
            return Math.max(0, exchange.waitingRequests() - pulledSince);
        }

        int waiting(WorkspaceName workspace) {
            return waiting() == 0 ? 0 : waitingByWorkspace.getOrDefault(workspace, 0);
        }

        double headVirtualTime() {
            return exchange.headVirtualTime();
        }

        int freeSlots() {
            return exchange.freeSlots() - exchange.waitingRequests() - passedSince;
        }

        void recordPassed() {
            passedSince++;
        }

        void recordPulled(int requests) {
            pulledSince += requests;
        }
    }
}
