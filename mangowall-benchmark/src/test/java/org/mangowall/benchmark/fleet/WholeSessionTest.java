package org.mangowall.benchmark.fleet;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Whole sessions through several decision cores: the script is here, the transcript in the approved files. */
class WholeSessionTest {

    private static final long SEED = 11;

    @Test
    void steadyBacklogWithUnequalWeights() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(8);
        session.run(12_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void tenantsSpreadUnevenlyOverRouters() {
        Session session = new Session(new FleetShape(3, 3, 1, 3, 4, 2, 8), SEED);
        session.fleet().start();
        session.callers().add(0, 12);
        session.run(2_000);
        session.callers().add(1, 12);
        session.run(10_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void floodOfOneWorkspace() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(3);
        session.run(4_000);
        session.transcript().note("workspace-01 sends 100 requests at once");
        session.callers().add(0, 100);
        session.run(6_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void coldStartOfAllRunners() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.fleet().runners().forEach(runner -> runner.becomeCold(0));
        session.callers().start(8);
        session.run(12_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void silentColdRestartOfOneRunner() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(8);
        session.run(10_000);
        SimulatedRunner runner = session.fleet().runners().iterator().next();
        session.transcript().note(runner.runner().name() + " breaks all connections and is cold");
        session.fleet().breakAll(runner, 500_000);
        session.run(8_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void zoneOutAndBack() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(8);
        session.run(8_000);
        session.closeZone(0);
        session.run(5_000);
        session.openZones();
        session.run(5_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void homeCrashAndRestart() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(6);
        session.run(6_000);
        session.crash(1);
        session.run(5_000);
        session.restart(1);
        session.run(5_000);
        Approvals.verify(session.transcript().text());
    }

    @Test
    void partitionAndRejoin() {
        Session session = Session.small(SEED);
        session.fleet().start();
        session.callers().start(6);
        session.run(6_000);
        session.cutOff(2);
        session.run(5_000);
        session.heal();
        session.run(5_000);
        Approvals.verify(session.transcript().text());
    }
}
