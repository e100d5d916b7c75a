package org.mangowall.membership;

import java.time.Duration;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RouterName;

/** Transcript of a small fleet that starts, loses routers to a leave, a crash and a network partition, and recovers. */
class MembershipScenarioTest {

    @Test
    void aFleetLosesRoutersAndRecovers() {
        StringBuilder transcript = new StringBuilder();
        RouterName leaver = new RouterName("router-1-2");
        RouterName crasher = new RouterName("router-2-2");
        SimulatedFleet fleet = SimulatedFleet.started(2, 2);
        fleet.transcript = line -> transcript.append(line).append('\n');
        fleet.run(Duration.ofSeconds(10));
        transcript.append("-- router-1-2 begins to leave\n");
        fleet.handle(leaver, new MembershipEvent.LeaveBegan());
        fleet.run(Duration.ofSeconds(5));
        transcript.append("-- router-1-2 has left\n");
        fleet.handle(leaver, new MembershipEvent.LeaveEnded());
        fleet.crash(leaver);
        fleet.run(Duration.ofSeconds(5));
        transcript.append("-- router-2-2 crashes\n");
        fleet.crash(crasher);
        fleet.run(Duration.ofSeconds(20));
        transcript.append("-- a network partition separates zone-1 and zone-2\n");
        fleet.isReachable = (from, to) -> from.zone().equals(to.zone());
        fleet.run(Duration.ofSeconds(20));
        transcript.append("-- the network partition ends\n");
        fleet.isReachable = (from, to) -> true;
        fleet.run(Duration.ofSeconds(20));
        transcript.append("-- router-2-2 starts again with empty state\n");
        fleet.start("zone-2", crasher.value());
        fleet.publishHosts();
        fleet.run(Duration.ofSeconds(10));
        Approvals.verify(transcript);
    }
}
