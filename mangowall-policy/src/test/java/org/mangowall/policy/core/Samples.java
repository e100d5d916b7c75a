package org.mangowall.policy.core;

import java.time.Duration;

import org.mangowall.inventory.AvailabilityZone;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.Workspace;
import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/** Sample values for the tests of the decision core. */
final class Samples {

    static final ServiceName MODEL = new ServiceName("moniteur");
    static final ServiceName PLAIN = new ServiceName("registre");

    private Samples() {}

    static AvailabilityZone zone(String name, boolean closed) {
        return new AvailabilityZone(new ZoneName(name), new RegionName("qc-est"), closed);
    }

    static Service service(ServiceName name, ServiceKind kind, int queueLimit) {
        return new Service(
                name,
                kind,
                2,
                queueLimit,
                Duration.ofSeconds(30),
                Duration.ofSeconds(30),
                Duration.ofSeconds(10),
                0.1,
                1);
    }

    static Runner runner(String name, ServiceName service, String zone, int slots) {
        return new Runner(new RunnerName(name), service, new ZoneName(zone), "127.0.0.1", 1, slots, false);
    }

    static Workspace workspace(String name, double weight) {
        return new Workspace(new WorkspaceName(name), weight);
    }

    static FleetMember member(String name, long incarnation, String zone, MemberState state) {
        return new FleetMember(new RouterName(name), incarnation, new ZoneName(zone), "127.0.0.1", 1, 2, state);
    }

    static RequestIdentifier identifier(String entry, long sequence) {
        return new RequestIdentifier(new RouterName(entry), 1, sequence);
    }

    static RequestDescription request(
            RequestIdentifier identifier, String workspace, ServiceName service, boolean repeatable) {
        return new RequestDescription(
                identifier, new WorkspaceName(workspace), service, repeatable, 0, 0, Duration.ZERO, 0);
    }

    static Inventory.Builder smallInventory(long version) {
        return Inventory.builder(version)
                .zone(zone("a", false))
                .zone(zone("b", false))
                .service(service(MODEL, ServiceKind.MODEL, 4))
                .service(service(PLAIN, ServiceKind.PLAIN, 4))
                .workspace(workspace("alma", 1))
                .workspace(workspace("baie", 2));
    }
}
