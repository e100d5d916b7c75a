package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that together exceed the rate limit that a runner states. */
class StatedRateLimiterTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long END = 30 * SECOND;
    private static final long WINDOW = 4 * SECOND;
    private static final long REPORT_DELAY = 150 * Fixtures.MILLI;
    private static final long RESPONSE_TIME = 200 * Fixtures.MILLI;
    /** Time within which the hosts adapt to a limit. */
    private static final long ADAPTATION = 3 * SECOND;

    private static final double TOLERATED_FACTOR = 1.5;
    private static final int MAX_EXTRA_REQUESTS = 5;
    private static final String LIMITED = "limited";

    /** Hosts that place requests on one limited and one other runner, and report to each other with a delay. */
    private static final class Simulation {
        private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
        private final List<FleetLoad> hosts = new ArrayList<>();
        private final List<Long> sentToLimited = new ArrayList<>();
        private final UniformRandomProvider random;
        private Optional<Double> limit = Optional.empty();
        private final int otherRunners;
        private long lastNumber;
        private int rejected;

        private record Event(long at, Runnable action) {}

        Simulation(int hostCount, int otherRunners, long seed) {
            this.otherRunners = otherRunners;
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            List<String> names = new ArrayList<>();
            for (int index = 0; index < hostCount; index++) {
                names.add("host-" + index);
            }
            names.forEach(name -> hosts.add(start(name, names)));
        }

        private FleetLoad start(String name, List<String> names) {
            FleetLoad fleet = new FleetLoad(name, Fixtures.WINDOW_NANOS);
            fleet.installTable(Fixtures.table(0, 0));
            fleet.installRunner(Fixtures.runner(LIMITED, Fixtures.ENGINES, "a", 0), 0);
            for (int index = 0; index < otherRunners; index++) {
                fleet.installRunner(Fixtures.runner("other-" + index, Fixtures.ENGINES, "b", 0), 0);
            }
            fleet.setHosts(names);
            return fleet;
        }

        void at(long time, Runnable action) {
            events.add(new Event(time, action));
        }

        void load(double perSecond, long from, long to) {
            for (long time = from;
                    time < to;
                    time += (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond)) {
                long now = time;
                at(now, () -> arrive(hosts.get(random.nextInt(hosts.size())), now));
            }
        }

        /** A host loses all that it knew, and gets it from the first other host. */
        void restart(int index, long now) {
            FleetLoad old = hosts.get(index);
            FleetLoad started = start(old.self(), List.copyOf(old.hosts()));
            hosts.get(index == 0 ? 1 : 0)
                    .rateLimits()
                    .inForce(now)
                    .forEach(event -> started.apply(old.self(), event, now));
            hosts.set(index, started);
        }

        private void arrive(FleetLoad host, long now) {
            Placement placement = new Placement(host, Fixtures.WINDOW_NANOS);
            if (placement.decide(Fixtures.stream("w", Fixtures.prompt(10, 1), random.nextDouble()), now)
                    instanceof PlacementDecision.Send send) {
                send(host, send.runner().identifier(), now);
            } else {
                rejected += 1;
            }
        }

        private void send(FleetLoad host, String runner, long now) {
            lastNumber += 1;
            long number = lastNumber;
            publish(
                    host,
                    new LoadEvent.Sent(number, runner, Optional.of("w"), List.of(), 1, 11, 12, Optional.empty()),
                    now);
            if (runner.equals(LIMITED)) {
                sentToLimited.add(now);
            }
            long respondedAt = now + RESPONSE_TIME;
            Optional<Double> stated = runner.equals(LIMITED) ? limit : Optional.empty();
            at(respondedAt, () -> {
                if (host.rateLimits().recordResponse(runner, stated, now, respondedAt)) {
                    publish(host, new LoadEvent.RateLimitStated(runner, stated, 0), respondedAt);
                }
                publish(host, new LoadEvent.Ended(number, RunOutcome.COMPLETE, OptionalLong.empty()), respondedAt);
            });
        }

        private void publish(FleetLoad host, LoadEvent event, long now) {
            host.apply(host.self(), event, now);
            at(
                    now + REPORT_DELAY,
                    () -> hosts.stream()
                            .filter(other -> !other.self().equals(host.self()))
                            .forEach(other -> other.apply(host.self(), event, now + REPORT_DELAY)));
        }

        /** Runs all events, with full reports of all hosts every two seconds. */
        void run() {
            for (long time = 0; time < END; time += 2 * SECOND) {
                long now = time;
                at(
                        now,
                        () -> hosts.forEach(
                                host -> host.rateLimits().recent(now).forEach(event -> publish(host, event, now))));
            }
            while (!events.isEmpty()) {
                events.poll().action().run();
            }
        }

        long sent(long from, long to) {
            return sentToLimited.stream().filter(at -> at >= from && at < to).count();
        }

        void assertLimitKept(double perSecond, long from, long to) {
            double allowed = perSecond * TOLERATED_FACTOR * WINDOW / SECOND + MAX_EXTRA_REQUESTS;
            for (long start = from; start + WINDOW <= to; start += SECOND / 10) {
                long sent = sent(start, start + WINDOW);
                assertTrue(sent <= allowed, sent + " requests in 4 s from " + start + ", allowed " + allowed);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "2, 7.2, 60, 1",
        "2, 0.5, 60, 2",
        "8, 7.2, 60, 3",
        "8, 7.2, 300, 4",
        "8, 0.05, 100, 5",
        "9, 0.7, 200, 6",
        "9, 30, 150, 7",
        "87, 2, 400, 8",
        "87, 12, 400, 9",
        "360, 5, 400, 10",
    })
    void allHostsTogetherKeepToTheLimitAndUseIt(int hostCount, double perSecond, double load, long seed) {
        Simulation simulation = new Simulation(hostCount, 1 + (int) (load / 40), seed);
        simulation.load(load, 0, END);
        simulation.at(5 * SECOND, () -> simulation.limit = Optional.of(perSecond));
        simulation.at(12 * SECOND, () -> simulation.restart(0, 12 * SECOND));
        simulation.at(18 * SECOND, () -> simulation.restart(hostCount - 1, 18 * SECOND));
        simulation.run();
        simulation.assertLimitKept(perSecond, 5 * SECOND + ADAPTATION, END);
        double room = perSecond * 20;
        long used = simulation.sent(10 * SECOND, END);
        assertTrue(used >= 0.75 * room - 1, used + " of " + room + " requests were sent");
        assertEquals(0, simulation.rejected);
    }

    @Test
    void aRunnerWhoseLimitEndedGetsAsMuchAsBefore() {
        Simulation simulation = new Simulation(8, 2, 11);
        simulation.load(60, 0, END);
        simulation.at(5 * SECOND, () -> simulation.limit = Optional.of(2.0));
        simulation.at(15 * SECOND, () -> simulation.limit = Optional.empty());
        simulation.run();
        long before = simulation.sent(0, 5 * SECOND);
        long after = simulation.sent(20 * SECOND, 25 * SECOND);
        assertTrue(after >= 0.8 * before, after + " after, " + before + " before");
    }

    @Test
    void aLimitThatNoResponseConfirmsDoesNotOutliveTheNextResponse() {
        Simulation simulation = new Simulation(360, 16, 12);
        simulation.limit = Optional.of(0.1);
        simulation.load(300, 0, 2 * SECOND);
        simulation.at(3 * SECOND, () -> simulation.limit = Optional.empty());
        simulation.load(300, 20 * SECOND, END);
        simulation.run();
        long sent = simulation.sent(25 * SECOND, END);
        assertTrue(sent >= 250, sent + " after the limit ended");
    }

    /** A response may be older than the statement that another host got. */
    @Test
    void aResponseToAnEarlierRequestDoesNotEndALimit() {
        StatedRateLimiter limiter = new StatedRateLimiter();
        assertTrue(limiter.recordResponse(Optional.of(2.0), 0, SECOND));
        assertFalse(limiter.recordResponse(Optional.empty(), SECOND / 2, 2 * SECOND));
        assertEquals(Optional.of(2.0), limiter.limit());
        assertTrue(limiter.recordResponse(Optional.empty(), SECOND + 1, 2 * SECOND));
        assertEquals(Optional.empty(), limiter.limit());
    }

    @Test
    void anOlderStatementToAnotherHostIsNotAdopted() {
        StatedRateLimiter limiter = new StatedRateLimiter();
        limiter.recordResponse(Optional.of(2.0), 0, SECOND);
        limiter.recordResponse(Optional.empty(), 2 * SECOND, 3 * SECOND);
        limiter.adopt(Optional.of(2.0), 2 * SECOND, 4 * SECOND);
        assertEquals(Optional.empty(), limiter.limit());
        limiter.adopt(Optional.of(3.0), 4 * SECOND, 5 * SECOND);
        assertEquals(Optional.of(3.0), limiter.limit());
    }
}
