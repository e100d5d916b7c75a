package org.mangowall.edge.decision;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The runners of a service that read long prompts, apart from the streams of other requests.
 *
 * <p>Load: prompts of very uneven length among many streams. While an engine reads a long prompt, each of its running
 * streams pauses for longer than callers bear. A few runners therefore read the long prompts, and runs move on from
 * them with their first event. {@code PromptReadersTest} replays the load.
 */
final class PromptReaders {

    /** A prompt is long when its reading takes this part of the shortest pause goal. */
    private static final double LONG_FRACTION = 0.7;
    /** Part of the time for which readers should be busy, so that prompts rarely wait for each other. */
    private static final double TARGET_UTILISATION = 0.5;

    private static final double MAX_FRACTION_OF_RUNNERS = 1.0 / 3;
    /** Part of the slots of the other runners that may be in use; engines with few slots need all of them. */
    private static final double MAX_SLOTS_IN_USE = 0.5;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int BUCKETS = 8;
    private static final long RECOMPUTE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double NANOS_PER_MILLI = 1e6;

    private final SlidingWindowSum readingMillis = new SlidingWindowSum(WINDOW_NANOS, BUCKETS);
    private double pauseGoalMillis;
    private Set<String> readers = Set.of();
    private long computedAt = Long.MIN_VALUE;

    /**
     * Sets the shortest pause between events for which a stream of the service is on time.
     *
     * @param millis the pause goal; 0 if the service's engines can't move runs, or its routes have no such goal
     */
    void setPauseGoalMillis(double millis) {
        pauseGoalMillis = millis;
    }

    double pauseGoalMillis() {
        return pauseGoalMillis;
    }

    /** Whether reading so many tokens makes the streams beside it late. */
    boolean isLong(int unreadTokens, double millisPerToken) {
        return pauseGoalMillis > 0 && unreadTokens * millisPerToken >= LONG_FRACTION * pauseGoalMillis;
    }

    /** Records a prompt that is sent to a runner by any host. */
    void recordSent(int unreadTokens, double millisPerToken, long now) {
        if (isLong(unreadTokens, millisPerToken)) {
            readingMillis.add(unreadTokens * millisPerToken, now);
        }
    }

    /** Whether a runner reads long prompts. */
    boolean isReader(RunnerState runner, List<RunnerState> runners, long now) {
        if (pauseGoalMillis <= 0) {
            return false;
        }
        if (computedAt == Long.MIN_VALUE || now - computedAt >= RECOMPUTE_INTERVAL_NANOS) {
            computedAt = now;
            readers = choose(runners, now);
        }
        return readers.contains(runner.entry().identifier());
    }

    /** How many runners the others can do without; their slots would be missing otherwise. */
    private static double spareRunners(List<RunnerState> runners) {
        int running = runners.stream().mapToInt(RunnerState::running).sum();
        double slots =
                runners.stream().mapToInt(runner -> runner.entry().slots()).sum();
        double needed = runners.size() * running / (MAX_SLOTS_IN_USE * Math.max(1, slots));
        return Math.max(0, runners.size() - Math.ceil(needed));
    }

    private Set<String> choose(List<RunnerState> runners, long now) {
        double busyRunners = readingMillis.sum(now) * NANOS_PER_MILLI / WINDOW_NANOS;
        int wanted = (int) Math.ceil(busyRunners / TARGET_UTILISATION);
        // A reader is given up only when two are no longer needed, so that the group doesn't change all the time.
        int kept = wanted == 0 ? 0 : Math.max(wanted, Math.min(readers.size(), wanted + 1));
        int count = (int) Math.min(Math.min(kept, runners.size() * MAX_FRACTION_OF_RUNNERS), spareRunners(runners));
        Set<String> chosen = new HashSet<>();
        runners.stream()
                .filter(runner -> !runner.entry().isDraining() && !runner.isLeaving())
                .map(runner -> runner.entry().identifier())
                .sorted(Comparator.comparingLong(identifier -> Rendezvous.weight("prompt-reader", identifier)))
                .limit(count)
                .forEach(chosen::add);
        return chosen;
    }
}
