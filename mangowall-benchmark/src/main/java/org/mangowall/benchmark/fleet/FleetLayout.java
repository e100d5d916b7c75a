package org.mangowall.benchmark.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.Workspace;
import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/**
 * The dimensions of a simulated fleet, with the names and the inventory that follow from them.
 *
 * @param zones the number of availability zones, all in one region
 * @param routers the number of routers, assigned to the zones in turn
 * @param services the number of services
 * @param runners the number of runners per service, assigned to the zones in turn
 * @param slots the number of slots per runner
 * @param workspaces the number of workspaces, with weights 1 to 4 in turn
 * @param queueLimit the largest number of waiting requests of a workspace at one home router
 */
public record FleetLayout(
        int zones, int routers, int services, int runners, int slots, int workspaces, int queueLimit) {

    private static final int WEIGHT_COUNT = 4;
    private static final int START_LIMIT = 2;
    private static final Duration QUEUE_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(60);
    private static final String LOOPBACK = "127.0.0.1";

    /** Returns the name of a zone. */
    public ZoneName zone(int index) {
        return new ZoneName("zone-" + (char) ('a' + index % zones));
    }

    /** Returns the name of a router. */
    public RouterName router(int index) {
        return new RouterName("router-" + (index + 1));
    }

    /** Returns the name of a service. */
    public ServiceName service(int index) {
        return new ServiceName("service-" + (index + 1));
    }

    /** Returns the name of a workspace. */
    public WorkspaceName workspace(int index) {
        return new WorkspaceName(String.format("workspace-%02d", index + 1));
    }

    /** Returns the weight of a workspace. */
    public double weight(int index) {
        return 1 + index % WEIGHT_COUNT;
    }

    /** Returns all routers as members in state {@code ALIVE}. */
    public List<FleetMember> members() {
        List<FleetMember> members = new ArrayList<>();
        for (int index = 0; index < routers; index++) {
            members.add(new FleetMember(router(index), 1, zone(index), LOOPBACK, 1, 2, MemberState.ALIVE));
        }
        return members;
    }

    /** Returns the inventory with the given zones closed. */
    public Inventory inventory(long version, List<ZoneName> closed) {
        Inventory.Builder builder = Inventory.builder(version);
        for (int index = 0; index < zones; index++) {
            boolean isClosed = closed.contains(zone(index));
            builder.zone(new AvailabilityZone(zone(index), new RegionName("region"), isClosed));
        }
        for (int index = 0; index < services; index++) {
            addService(builder, index);
        }
        for (int index = 0; index < workspaces; index++) {
            builder.workspace(new Workspace(workspace(index), weight(index)));
        }
        return builder.build();
    }

    private void addService(Inventory.Builder builder, int index) {
        builder.service(new Service(
                service(index),
                ServiceKind.MODEL,
                START_LIMIT,
                queueLimit,
                QUEUE_TIMEOUT,
                PROGRESS_TIMEOUT,
                PROGRESS_TIMEOUT,
                0,
                1));
        for (int number = 0; number < runners; number++) {
            RunnerName name = new RunnerName("runner-" + (index + 1) + "-" + (number + 1));
            builder.runner(new Runner(name, service(index), zone(number + index), LOOPBACK, 1, slots, false));
        }
    }
}
