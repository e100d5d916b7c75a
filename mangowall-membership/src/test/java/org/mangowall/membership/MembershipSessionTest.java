package org.mangowall.membership;

import java.time.Duration;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RouterName;

/** A whole session of a small fleet: start, leave, crash, cut and return. */
class MembershipSessionTest {

    @Test
    void aFleetStartsLosesRoutersAndIsWholeAgain() {
        StringBuilder transcript = new StringBuilder();
        RouterName leaver = new RouterName("router-1-2");
        RouterName crasher = new RouterName("router-2-2");
        FakeFleet fleet = FakeFleet.started(2, 2);
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
        transcript.append("-- zone-1 and zone-2 are cut off from each other\n");
        fleet.reaches = (from, to) -> from.zone().equals(to.zone());
        fleet.run(Duration.ofSeconds(20));
        transcript.append("-- the cut is over\n");
        fleet.reaches = (from, to) -> true;
        fleet.run(Duration.ofSeconds(20));
        transcript.append("-- router-2-2 starts again with empty state\n");
        fleet.start("zone-2", crasher.value());
        fleet.publishHosts();
        fleet.run(Duration.ofSeconds(10));
        Approvals.verify(transcript);
    }
}
