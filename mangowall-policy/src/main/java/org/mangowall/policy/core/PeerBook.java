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

/** The latest news from other homes. */
final class PeerBook {

    private final Map<ServiceName, Map<RouterName, PeerNews>> news = new TreeMap<>();

    /** Takes an exchange; returns false when it is older than what is known. */
    boolean record(ServiceExchange exchange, long now) {
        Map<RouterName, PeerNews> ofService = news.computeIfAbsent(exchange.service(), name -> new TreeMap<>());
        PeerNews known = ofService.get(exchange.from());
        if (known != null && !known.isOlderThan(exchange)) {
            return false;
        }
        ofService.put(exchange.from(), new PeerNews(exchange, now));
        return true;
    }

    /** The news of all other homes of a service. */
    Collection<PeerNews> of(ServiceName service) {
        return news.getOrDefault(service, Map.of()).values();
    }

    void forget(RouterName router) {
        news.values().forEach(ofService -> ofService.remove(router));
    }

    /** Forgets the homes of a service that are none any more. */
    void keepOnly(ServiceName service, Collection<RouterName> homes) {
        Map<RouterName, PeerNews> ofService = news.get(service);
        if (ofService != null) {
            ofService.keySet().removeIf(router -> !homes.contains(router));
        }
    }

    /** The free slots of a home less what is passed since and what waits there; empty when there is no news. */
    OptionalInt freeSlots(ServiceName service, RouterName home) {
        PeerNews found = news.getOrDefault(service, Map.of()).get(home);
        return found == null ? OptionalInt.empty() : OptionalInt.of(found.freeSlots());
    }

    void passed(ServiceName service, RouterName home) {
        PeerNews found = news.getOrDefault(service, Map.of()).get(home);
        if (found != null) {
            found.passed();
        }
    }

    /** The requests of a workspace that wait at other homes. */
    int waiting(ServiceName service, WorkspaceName workspace) {
        int sum = 0;
        for (PeerNews peer : of(service)) {
            sum += peer.waiting(workspace);
        }
        return sum;
    }

    /** Whether another home had room when it was last heard of. */
    boolean mayHaveRoom(ServiceName service) {
        return of(service).stream().anyMatch(peer -> peer.freeSlots() > 0);
    }

    /** The smallest tag among what waits at other homes. */
    double smallestHeadTag(ServiceName service) {
        double smallest = Double.POSITIVE_INFINITY;
        for (PeerNews peer : of(service)) {
            if (peer.waiting() > 0) {
                smallest = Math.min(smallest, peer.headTag());
            }
        }
        return smallest;
    }

    /** The latest exchange of one home and what happened since. */
    static final class PeerNews {

        private final ServiceExchange exchange;
        private final long receivedAt;
        private final Map<WorkspaceName, Integer> waitingByWorkspace = new TreeMap<>();
        private int passedSince;
        private int pulledSince;

        PeerNews(ServiceExchange exchange, long receivedAt) {
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

        double headTag() {
            return exchange.headTag();
        }

        int freeSlots() {
            return exchange.freeSlots() - exchange.waitingRequests() - passedSince;
        }

        void passed() {
            passedSince++;
        }

        void pulled(int requests) {
            pulledSince += requests;
        }
    }
}
