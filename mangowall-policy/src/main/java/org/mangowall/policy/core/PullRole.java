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
import org.mangowall.policy.core.PeerBook.PeerNews;

/** Moves waiting requests to homes with room, or to homes that would serve them sooner. */
final class PullRole {

    private static final long PULL_EXPIRY_MILLISECONDS = 100;
    private static final double ROUND_TRIP_MILLISECONDS = 8;
    private static final int LARGEST_MOVES_BY_PULL = 8;

    private final CoreContext context;
    private final HomeRole home;
    private final PeerBook peers;
    private final Map<ServiceName, Deque<Pull>> underWay = new HashMap<>();
    private final Map<ServiceName, Set<RouterName>> disappointed = new HashMap<>();

    PullRole(CoreContext context, HomeRole home, PeerBook peers) {
        this.context = context;
        this.home = home;
        this.peers = peers;
    }

    /** A pull that is under way. */
    private static final class Pull {

        private final long expiry;
        private int requests;

        private Pull(long expiry, int requests) {
            this.expiry = expiry;
            this.requests = requests;
        }
    }

    /** Pulls when there is room here, or when what waits here is served well ahead of the rest of the fleet. */
    void consider(ServiceState service, int dispatched) {
        if (!context.traits().exchange() || !service.pool().hasOpenRunner()) {
            return;
        }
        int coming = coming(service.name());
        int stock = service.queue().size() + coming;
        int room = service.pool().free(context.now()) + prefetch(service) - stock;
        if (room > 0) {
            pull(service, room, Double.POSITIVE_INFINITY);
            return;
        }
        if (dispatched > coming) {
            double ahead = service.queue().headTag() - service.ledger().meanCost();
            pull(service, dispatched - coming, ahead);
        }
    }

    /** The requests that end during the round trip of a pull. */
    private static int prefetch(ServiceState service) {
        return (int) (ROUND_TRIP_MILLISECONDS / Math.max(1, service.dispatchInterval()));
    }

    private int coming(ServiceName service) {
        Deque<Pull> pulls = underWay.get(service);
        if (pulls == null) {
            return 0;
        }
        pulls.removeIf(pull -> pull.requests <= 0 || pull.expiry <= context.now());
        return pulls.stream().mapToInt(pull -> pull.requests).sum();
    }

    private void pull(ServiceState service, int wanted, double belowTag) {
        int rest = wanted;
        List<PeerNews> sources = peers.of(service.name()).stream()
                .filter(peer -> peer.waiting() > 0 && peer.headTag() < belowTag)
                .sorted(Comparator.comparingDouble(PeerNews::headTag))
                .toList();
        for (PeerNews source : sources) {
            if (rest <= 0) {
                return;
            }
            int part = Math.min(rest, source.waiting());
            source.pulled(part);
            rest -= part;
            underWay.computeIfAbsent(service.name(), name -> new ArrayDeque<>())
                    .add(new Pull(context.now() + PULL_EXPIRY_MILLISECONDS, part));
            context.act(new DecisionAction.SendPull(source.home(), service.name(), part, belowTag));
        }
    }

    /** A request came in; if it was moved, one pulled request less is under way. */
    void passed(RequestDescription request) {
        Deque<Pull> pulls = underWay.get(request.service());
        if (request.moves() > 0 && pulls != null && !pulls.isEmpty()) {
            pulls.getFirst().requests--;
        }
    }

    /** Another home pulls: the requests of the workspaces with the smallest tags go first. */
    void received(RouterName from, ServiceName serviceName, int slots, double belowTag) {
        ServiceState service = home.service(serviceName);
        Map<WorkspaceName, Double> tags = new HashMap<>();
        for (WorkspaceName workspace : service.queue().workspaces()) {
            tags.put(workspace, service.ledger().tag(workspace));
        }
        int released = 0;
        while (released < slots) {
            Optional<WorkspaceName> next = smallest(tags);
            if (next.isEmpty() || tags.get(next.get()) >= belowTag) {
                break;
            }
            WorkspaceName workspace = next.get();
            Optional<HomeRequest> movable = movable(service, workspace);
            if (movable.isEmpty()) {
                tags.remove(workspace);
                continue;
            }
            double step = service.ledger()
                    .estimate(workspace, movable.get().description().costHint());
            tags.merge(workspace, step / context.weight(workspace), Double::sum);
            home.release(service, movable.get(), ReleaseReason.PULLED, Optional.of(from));
            released++;
        }
        if (released < slots) {
            disappointed.computeIfAbsent(serviceName, name -> new TreeSet<>()).add(from);
        }
    }

    private static Optional<WorkspaceName> smallest(Map<WorkspaceName, Double> tags) {
        return tags.entrySet().stream()
                .min(Map.Entry.<WorkspaceName, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private static Optional<HomeRequest> movable(ServiceState service, WorkspaceName workspace) {
        return service.queue().of(workspace).stream()
                .filter(request -> request.description().moves() < LARGEST_MOVES_BY_PULL)
                .findFirst();
    }

    /** The homes that have asked in vain since the last call and should have fresh news. */
    Set<RouterName> takeDisappointed(ServiceName service) {
        Set<RouterName> taken = disappointed.remove(service);
        return taken == null ? Set.of() : taken;
    }
}
