package org.mangowall.inventory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;

/**
 * One version of the inventory, with the operators' rules applied.
 *
 * <p>All maps are sorted by name, so that every router derives the same results from the same version.
 */
public final class Inventory {

    private static final int SAME_ZONE_DISTANCE = 0;
    private static final int SAME_REGION_DISTANCE = 1;
    private static final int OTHER_REGION_DISTANCE = 2;

    private final long version;
    private final Map<ZoneName, AvailabilityZone> zones;
    private final Map<ServiceName, Service> services;
    private final Map<RunnerName, Runner> runners;
    private final Map<WorkspaceName, Workspace> workspaces;
    private final Map<ServiceName, List<Runner>> runnersByService;

    private Inventory(Builder builder) {
        this.version = builder.version;
        this.zones = Collections.unmodifiableMap(new TreeMap<>(builder.zones));
        this.services = Collections.unmodifiableMap(new TreeMap<>(builder.services));
        this.runners = Collections.unmodifiableMap(new TreeMap<>(builder.runners));
        this.workspaces = Collections.unmodifiableMap(new TreeMap<>(builder.workspaces));
        this.runnersByService = groupByService(runners.values());
    }

    private static Map<ServiceName, List<Runner>> groupByService(Collection<Runner> runners) {
        Map<ServiceName, List<Runner>> groups = new TreeMap<>();
        for (Runner runner : runners) {
            groups.computeIfAbsent(runner.service(), name -> new ArrayList<>()).add(runner);
        }
        groups.replaceAll((name, group) -> List.copyOf(group));
        return Collections.unmodifiableMap(groups);
    }

    /** Starts an inventory with the version that the platform assigned to it. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** The version, which increases with each change; 0 if none has been installed yet. */
    public long version() {
        return version;
    }

    /** All availability zones by name. */
    public Map<ZoneName, AvailabilityZone> zones() {
        return zones;
    }

    /** All services by name. */
    public Map<ServiceName, Service> services() {
        return services;
    }

    /** All runners by name. */
    public Map<RunnerName, Runner> runners() {
        return runners;
    }

    /** All workspaces by name. */
    public Map<WorkspaceName, Workspace> workspaces() {
        return workspaces;
    }

    /** The runners of a service, sorted by name; empty if there are none. */
    public List<Runner> runnersOf(ServiceName service) {
        return runnersByService.getOrDefault(service, List.of());
    }

    /** The service with the given name, if there is one. */
    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The workspace with the given name, if there is one. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** The runner with the given name, if there is one. */
    public Optional<Runner> runner(RunnerName name) {
        return Optional.ofNullable(runners.get(name));
    }

    /** Whether the runner may receive new requests: it is not draining and its zone is known and not closed. */
    public boolean isOpen(Runner runner) {
        if (runner.draining()) {
            return false;
        }
        AvailabilityZone zone = zones.get(runner.zone());
        return zone != null && !zone.closed();
    }

    /** The distance of two zones: 0 for the same zone, 1 for zones of the same region, 2 otherwise. */
    public int distance(ZoneName from, ZoneName to) {
        if (from.equals(to)) {
            return SAME_ZONE_DISTANCE;
        }
        AvailabilityZone fromZone = zones.get(from);
        AvailabilityZone toZone = zones.get(to);
        boolean sameRegion =
                fromZone != null && toZone != null && fromZone.region().equals(toZone.region());
        return sameRegion ? SAME_REGION_DISTANCE : OTHER_REGION_DISTANCE;
    }

    /** Collects the entries of an inventory; not thread-safe. */
    public static final class Builder {

        private final long version;
        private final Map<ZoneName, AvailabilityZone> zones = new TreeMap<>();
        private final Map<ServiceName, Service> services = new TreeMap<>();
        private final Map<RunnerName, Runner> runners = new TreeMap<>();
        private final Map<WorkspaceName, Workspace> workspaces = new TreeMap<>();

        private Builder(long version) {
            this.version = version;
        }

        /** Adds or replaces a zone. */
        public Builder zone(AvailabilityZone zone) {
            zones.put(zone.name(), zone);
            return this;
        }

        /** Adds or replaces a service. */
        public Builder service(Service service) {
            services.put(service.name(), service);
            return this;
        }

        /** Adds or replaces a runner. */
        public Builder runner(Runner runner) {
            runners.put(runner.name(), runner);
            return this;
        }

        /** Adds or replaces a workspace. */
        public Builder workspace(Workspace workspace) {
            workspaces.put(workspace.name(), workspace);
            return this;
        }

        /** Builds the inventory. */
        public Inventory build() {
            return new Inventory(this);
        }
    }
}
