package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;

/**
 * Assigns each runner to a home router by rendezvous hashing.
 *
 * <p>The runners of one service in one zone are distributed over a small group of routers, so that a service has few
 * homes and little state to exchange. A runner's home is in its availability zone or, if there is no router, in another
 * zone of the region, open zones first, or else in any zone.
 */
final class HomeAssignment {

    private static final Hasher64 HASHER = Hashing.xxh3_64();
    private static final int RUNNERS_PER_HOME = 16;

    private final Map<RunnerName, RouterName> homes = new TreeMap<>();
    private final Map<ServiceName, Map<RouterName, HomeCapacity>> openHomes = new TreeMap<>();
    private final Map<ServiceName, TreeSet<RouterName>> allHomes = new TreeMap<>();
    private final Map<RouterName, ZoneName> zoneOfRouter = new TreeMap<>();
    private final Map<String, List<RouterName>> groups = new TreeMap<>();

    private final TreeSet<RouterName> unreachable = new TreeSet<>();

    private HomeAssignment() {}

    /**
     * Assigns all runners of an inventory.
     *
     * @param unreachable dead routers that are still treated as homes of their runners
     */
    static HomeAssignment compute(
            Inventory inventory,
            FleetView view,
            RouterIdentity self,
            boolean selfLeaving,
            Collection<RouterName> unreachable) {
        HomeAssignment assignment = new HomeAssignment();
        assignment.unreachable.addAll(unreachable);
        Map<ZoneName, List<RouterName>> candidates = candidates(view, self, selfLeaving, unreachable);
        candidates.forEach((zone, routers) -> routers.forEach(router -> assignment.zoneOfRouter.put(router, zone)));
        for (Runner runner : inventory.runners().values()) {
            assignment.assign(inventory, runner, candidates);
        }
        return assignment;
    }

    private static Map<ZoneName, List<RouterName>> candidates(
            FleetView view, RouterIdentity self, boolean selfLeaving, Collection<RouterName> unreachable) {
        Map<ZoneName, List<RouterName>> byZone = new TreeMap<>();
        for (FleetMember member : view.members().values()) {
            boolean isCandidate = member.mayBeHome() || unreachable.contains(member.name());
            if (isCandidate && !member.name().equals(self.name())) {
                byZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member.name());
            }
        }
        if (!selfLeaving || byZone.isEmpty()) {
            byZone.computeIfAbsent(self.zone(), zone -> new ArrayList<>()).add(self.name());
        }
        return byZone;
    }

    private void assign(Inventory inventory, Runner runner, Map<ZoneName, List<RouterName>> candidates) {
        RouterName home = choose(runner.name().value(), group(inventory, runner, candidates));
        homes.put(runner.name(), home);
        allHomes.computeIfAbsent(runner.service(), service -> new TreeSet<>()).add(home);
        if (!inventory.isOpen(runner) || unreachable.contains(home)) {
            return;
        }
        openHomes
                .computeIfAbsent(runner.service(), service -> new TreeMap<>())
                .merge(home, new HomeCapacity(home, zoneOfRouter.get(home), runner.slots()), HomeCapacity::plus);
    }

    /** The routers nearest to a runner's zone over which the runners of its service in that zone are distributed. */
    private List<RouterName> group(Inventory inventory, Runner runner, Map<ZoneName, List<RouterName>> candidates) {
        String key = runner.service().value() + ' ' + runner.zone().value();
        return groups.computeIfAbsent(key, absent -> {
            long runners = inventory.runnersOf(runner.service()).stream()
                    .filter(other -> other.zone().equals(runner.zone()))
                    .count();
            long size = (runners + RUNNERS_PER_HOME - 1) / RUNNERS_PER_HOME;
            return nearest(inventory, runner.zone(), candidates).stream()
                    .sorted(byHash(key).reversed())
                    .limit(size)
                    .toList();
        });
    }

    private static Comparator<RouterName> byHash(String key) {
        return Comparator.comparingLong((RouterName router) -> hash(key, router.value()))
                .thenComparing(Comparator.naturalOrder());
    }

    private static List<RouterName> nearest(
            Inventory inventory, ZoneName wanted, Map<ZoneName, List<RouterName>> candidates) {
        List<RouterName> same = candidates.get(wanted);
        if (same != null) {
            return same;
        }
        Comparator<ZoneName> byDistance = Comparator.comparingInt(zone -> inventory.distance(wanted, zone));
        Comparator<ZoneName> order = byDistance
                .thenComparing(zone -> isClosed(inventory, zone))
                .thenComparing(zone -> -hash(wanted.value(), zone.value()));
        ZoneName best = candidates.keySet().stream().min(order).orElseThrow();
        return candidates.get(best);
    }

    private static boolean isClosed(Inventory inventory, ZoneName name) {
        AvailabilityZone zone = inventory.zones().get(name);
        return zone != null && zone.closed();
    }

    private static RouterName choose(String key, Collection<RouterName> candidates) {
        return candidates.stream().max(byHash(key)).orElseThrow();
    }

    private static long hash(String key, String candidate) {
        return HASHER.hashStream().putString(key).putString(candidate).getAsLong();
    }

    /** The home with open runners to which a prompt prefix is hashed. */
    Optional<RouterName> homeOfPrefix(ServiceName service, long prefixHash) {
        Map<RouterName, HomeCapacity> open = openHomesOf(service);
        if (open.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(choose(Long.toHexString(prefixHash), open.keySet()));
    }

    /** The home of a runner; empty if the inventory does not contain the runner. */
    Optional<RouterName> homeOf(RunnerName runner) {
        return Optional.ofNullable(homes.get(runner));
    }

    /** The homes that have open runners of a service, by name. */
    Map<RouterName, HomeCapacity> openHomesOf(ServiceName service) {
        return openHomes.getOrDefault(service, Map.of());
    }

    /** All homes of a service's runners, open or not. */
    Collection<RouterName> homesOf(ServiceName service) {
        return Collections.unmodifiableCollection(allHomes.getOrDefault(service, new TreeSet<>()));
    }

    /**
     * Capacity of one home for one service.
     *
     * @param home the router
     * @param zone its availability zone
     * @param slots the slots of its open runners
     */
    record HomeCapacity(RouterName home, ZoneName zone, int slots) {

        HomeCapacity plus(HomeCapacity other) {
            return new HomeCapacity(home, zone, slots + other.slots);
        }
    }
}
