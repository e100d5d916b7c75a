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
 * One version of the whole inventory with the rules already applied.
 *
 * <p>All maps are sorted by name, so that everything derived from an inventory is the same on every router.
 */
public final class Inventory {

    private static final int SAME_ZONE = 0;
    private static final int SAME_REGION = 1;
    private static final int OTHER_REGION = 2;

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

    /** Starts an inventory with the version that the platform gave it. */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** The version; larger is newer, 0 means none was installed yet. */
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

    /** The runners of a service in order of name; empty when there are none. */
    public List<Runner> runnersOf(ServiceName service) {
        return runnersByService.getOrDefault(service, List.of());
    }

    /** The service of that name, if there is one. */
    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The workspace of that name, if there is one. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** The runner of that name, if there is one. */
    public Optional<Runner> runner(RunnerName name) {
        return Optional.ofNullable(runners.get(name));
    }

    /** Whether the runner may get new work: neither draining nor in a closed zone. */
    public boolean isOpen(Runner runner) {
        if (runner.draining()) {
            return false;
        }
        AvailabilityZone zone = zones.get(runner.zone());
        return zone != null && !zone.closed();
    }

    /** How far two zones are apart: 0 for the same, 1 within a region, 2 otherwise. */
    public int distance(ZoneName from, ZoneName to) {
        if (from.equals(to)) {
            return SAME_ZONE;
        }
        AvailabilityZone fromZone = zones.get(from);
        AvailabilityZone toZone = zones.get(to);
        boolean sameRegion =
                fromZone != null && toZone != null && fromZone.region().equals(toZone.region());
        return sameRegion ? SAME_REGION : OTHER_REGION;
    }

    /** Collects the parts of an inventory; not safe for use by several threads. */
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

        /** Makes the inventory. */
        public Inventory build() {
            return new Inventory(this);
        }
    }
}
