package org.mangowall.benchmark.fleet;

import java.util.Collection;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.DecisionStatus.ServiceStatus;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Shares, work conservation and starvation in fleets of random sizes without faults. */
class FairnessPropertyTest {

    private static final long SAMPLE_MILLISECONDS = 20;
    private static final int WARM_UP_SAMPLES = 2_000;
    private static final int SAMPLES = 1_500;
    private static final int EXCHANGE_PERIOD_SAMPLES = 50;
    private static final int MESSAGE_DELAY_SAMPLES = 2;

    @Property(seed = "29", tries = 12)
    void theGapStaysWithinTheBoundAndNoSlotIdlesLongerThanAnExchange(
            @ForAll @IntRange(min = 1, max = 7) int routers,
            @ForAll @IntRange(min = 2, max = 8) int runners,
            @ForAll @IntRange(min = 2, max = 6) int workspaces,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        FleetShape shape = new FleetShape(3, routers, 1, runners, 4, workspaces, 256);
        Session session = new Session(shape, seed);
        FleetProbe probe = new FleetProbe(session.fleet(), shape);
        session.fleet().listen(new ProbedCallers(probe, session.callers()));
        session.fleet().start();
        session.callers().start(4 * runners);
        for (int sample = 0; sample < WARM_UP_SAMPLES; sample++) {
            session.run(SAMPLE_MILLISECONDS);
        }
        probe.sample();
        double[] begin = served(probe, shape);
        int idleSamples = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            session.run(SAMPLE_MILLISECONDS);
            probe.sample();
            idleSamples = hasIdleSlot(session) && probe.waiting(0) > 0 ? idleSamples + 1 : 0;
            assertTrue(
                    idleSamples <= EXCHANGE_PERIOD_SAMPLES + MESSAGE_DELAY_SAMPLES,
                    () -> "a slot idles while work waits, at "
                            + session.fleet().line().now());
            checkGap(session, probe, begin);
        }
        for (int workspace = 0; workspace < workspaces; workspace++) {
            assertTrue(probe.served(0, workspace) > begin[workspace], "a workspace starves");
        }
    }

    private static double[] served(FleetProbe probe, FleetShape shape) {
        double[] served = new double[shape.workspaces()];
        for (int workspace = 0; workspace < served.length; workspace++) {
            served[workspace] = probe.served(0, workspace);
        }
        return served;
    }

    private static void checkGap(Session session, FleetProbe probe, double[] begin) {
        double smallest = Double.POSITIVE_INFINITY;
        double largest = Double.NEGATIVE_INFINITY;
        for (int workspace = 0; workspace < begin.length; workspace++) {
            double byWeight = (probe.served(0, workspace) - begin[workspace])
                    / session.shape().weight(workspace);
            smallest = Math.min(smallest, byWeight);
            largest = Math.max(largest, byWeight);
        }
        double gap = largest - smallest;
        double bound = bound(session);
        assertTrue(gap <= bound, () -> "gap " + gap + " beyond the bound " + bound);
    }

    private static double bound(Session session) {
        Collection<RouterName> routers = session.fleet().routerNames();
        return routers.stream()
                .flatMap(name -> session.fleet().core(name).status().services().stream())
                .mapToDouble(ServiceStatus::gapBound)
                .max()
                .orElseThrow();
    }

    private static boolean hasIdleSlot(Session session) {
        return session.fleet().routerNames().stream()
                .flatMap(name -> session.fleet().core(name).status().services().stream())
                .anyMatch(service -> service.freeSlotsHere() > 0);
    }

    /** Passes on to a probe and to callers. */
    private record ProbedCallers(FleetProbe probe, ClosedLoopCallers callers) implements FleetListener {

        @Override
        public void sent(RequestRecord request) {
            probe.sent(request);
        }

        @Override
        public void served(RequestRecord request) {
            probe.served(request);
            callers.served(request);
        }

        @Override
        public void ended(RequestRecord request) {
            probe.ended(request);
            callers.ended(request);
        }
    }
}
