package org.mangowall.benchmark.fleet;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Scripted scenarios with several decision cores; the approved files hold the expected transcripts. */
class FleetScenarioTest {

    private static final long SEED = 11;

    @Test
    void steadyBacklogWithUnequalWeights() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(8);
        scenario.run(12_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void workspacesSpreadUnevenlyOverRouters() {
        SimulationScenario scenario = new SimulationScenario(new FleetLayout(3, 3, 1, 3, 4, 2, 8), SEED);
        scenario.fleet().start();
        scenario.callers().add(0, 12);
        scenario.run(2_000);
        scenario.callers().add(1, 12);
        scenario.run(10_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void floodOfOneWorkspace() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(3);
        scenario.run(4_000);
        scenario.transcript().note("workspace-01 sends 100 requests at once");
        scenario.callers().add(0, 100);
        scenario.run(6_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void coldStartOfAllRunners() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.fleet().runners().forEach(runner -> runner.becomeCold(0));
        scenario.callers().start(8);
        scenario.run(12_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void silentColdRestartOfOneRunner() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(8);
        scenario.run(10_000);
        SimulatedRunner runner = scenario.fleet().runners().iterator().next();
        scenario.transcript().note(runner.runner().name() + " crashes and restarts cold");
        scenario.fleet().crashRunner(runner, 500_000);
        scenario.run(8_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void zoneOutAndBack() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(8);
        scenario.run(8_000);
        scenario.closeZone(0);
        scenario.run(5_000);
        scenario.openZones();
        scenario.run(5_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void homeCrashAndRestart() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(6);
        scenario.run(6_000);
        scenario.crash(1);
        scenario.run(5_000);
        scenario.restart(1);
        scenario.run(5_000);
        Approvals.verify(scenario.transcript().text());
    }

    @Test
    void partitionAndRejoin() {
        SimulationScenario scenario = SimulationScenario.small(SEED);
        scenario.fleet().start();
        scenario.callers().start(6);
        scenario.run(6_000);
        scenario.isolate(2);
        scenario.run(5_000);
        scenario.endPartition();
        scenario.run(5_000);
        Approvals.verify(scenario.transcript().text());
    }
}
