package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RoutingReason;
import org.mangowall.policy.core.HomeAssignment.HomeCapacity;

/** Chooses the home to which an entry passes a request. */
final class HomeChooser {

    private final CoreContext context;
    private final PeerHomeStates peers;
    private final HomeRole ownHome;
    private final Map<ServiceName, Map<RouterName, Integer>> outstanding = new HashMap<>();
    private long rotationPosition;

    HomeChooser(CoreContext context, PeerHomeStates peers, HomeRole ownHome) {
        this.context = context;
        this.peers = peers;
        this.ownHome = ownHome;
    }

    /** A home and the reason for its choice. */
    record Choice(RouterName home, RoutingReason reason) {}

    Optional<Choice> choose(RequestDescription request, Set<RouterName> avoided) {
        List<HomeCapacity> homes = new ArrayList<>();
        for (HomeCapacity home :
                context.assignment().openHomesOf(request.service()).values()) {
            if (!avoided.contains(home.home())) {
                homes.add(home);
            }
        }
        if (homes.isEmpty()) {
            return Optional.empty();
        }
        if (homes.size() == 1) {
            return Optional.of(new Choice(homes.getFirst().home(), RoutingReason.ONLY_HOME));
        }
        return Optional.of(
                switch (context.traits().homeChoice()) {
                    case ROUND_ROBIN -> roundRobin(homes);
                    case LEAST_OUTSTANDING -> leastOutstanding(request.service(), homes);
                    case BALANCED -> balanced(request, homes);
                });
    }

    private Choice roundRobin(List<HomeCapacity> homes) {
        long slots = homes.stream().mapToLong(HomeCapacity::slots).sum();
        long position = Math.floorMod(rotationPosition, slots);
        rotationPosition += Math.max(1, slots / homes.size());
        for (HomeCapacity home : homes) {
            position -= home.slots();
            if (position < 0) {
                return new Choice(home.home(), RoutingReason.ROUND_ROBIN);
            }
        }
        return new Choice(homes.getLast().home(), RoutingReason.ROUND_ROBIN);
    }

    private Choice leastOutstanding(ServiceName service, List<HomeCapacity> homes) {
        HomeCapacity best = homes.stream()
                .min(Comparator.comparingDouble(home -> (double) outstanding(service, home.home()) / home.slots()))
                .orElseThrow();
        return new Choice(best.home(), RoutingReason.LEAST_LOADED);
    }

    private Choice balanced(RequestDescription request, List<HomeCapacity> homes) {
        ServiceName service = request.service();
        Optional<Choice> byPrefix = byPrefix(request, homes);
        if (byPrefix.isPresent()) {
            return byPrefix.get();
        }
        List<HomeCapacity> free = new ArrayList<>();
        int nearest = Integer.MAX_VALUE;
        for (HomeCapacity home : homes) {
            if (freeSlots(service, home) <= 0) {
                continue;
            }
            int distance = distance(home);
            if (distance < nearest) {
                nearest = distance;
                free.clear();
            }
            if (distance == nearest) {
                free.add(home);
            }
        }
        if (free.isEmpty()) {
            return new Choice(lessLoadedOfTwo(service, homes).home(), RoutingReason.SHORTEST_QUEUE);
        }
        return new Choice(lessLoadedOfTwo(service, free).home(), RoutingReason.FREE_SLOTS);
    }

    private Optional<Choice> byPrefix(RequestDescription request, List<HomeCapacity> homes) {
        if (request.prefixHash() == 0) {
            return Optional.empty();
        }
        return context.assignment()
                .homeOfPrefix(request.service(), request.prefixHash())
                .flatMap(home -> homes.stream()
                        .filter(candidate -> candidate.home().equals(home))
                        .findFirst())
                .filter(home -> freeSlots(request.service(), home) > 0)
                .map(home -> new Choice(home.home(), RoutingReason.PREFIX_AFFINITY));
    }

    private int distance(HomeCapacity home) {
        return context.inventory().distance(context.identity().zone(), home.zone());
    }

    private HomeCapacity lessLoadedOfTwo(ServiceName service, List<HomeCapacity> homes) {
        HomeCapacity first = randomBySlots(homes);
        HomeCapacity second = randomBySlots(homes);
        return load(service, second) < load(service, first) ? second : first;
    }

    private HomeCapacity randomBySlots(List<HomeCapacity> homes) {
        int slots = homes.stream().mapToInt(HomeCapacity::slots).sum();
        int position = context.random().nextInt(slots);
        for (HomeCapacity home : homes) {
            position -= home.slots();
            if (position < 0) {
                return home;
            }
        }
        return homes.getLast();
    }

    private double load(ServiceName service, HomeCapacity home) {
        return (double) -freeSlots(service, home) / home.slots();
    }

    private int freeSlots(ServiceName service, HomeCapacity home) {
        if (home.home().equals(context.self())) {
            return ownHome.freeSlots(service);
        }
        return peers.freeSlots(service, home.home())
                .orElse(home.slots() - outstanding(service, home.home()) * entryCount());
    }

    /**
     * The number of entries that share the homes; without an exchange from a home, each entry is assumed to have as
     * many outstanding requests there as this one.
     */
    private int entryCount() {
        return Math.max(1, context.view().members().size());
    }

    private int outstanding(ServiceName service, RouterName home) {
        return outstanding.getOrDefault(service, Map.of()).getOrDefault(home, 0);
    }

    void recordPassed(ServiceName service, RouterName home) {
        outstanding.computeIfAbsent(service, name -> new HashMap<>()).merge(home, 1, Integer::sum);
        peers.recordPassed(service, home);
    }

    void recordEnded(ServiceName service, RouterName home) {
        Map<RouterName, Integer> counts = outstanding.get(service);
        if (counts != null) {
            counts.computeIfPresent(home, (name, count) -> count > 1 ? count - 1 : null);
        }
    }
}
