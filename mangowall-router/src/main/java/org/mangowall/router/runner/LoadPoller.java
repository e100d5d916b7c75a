package org.mangowall.router.runner;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.RunnerSettings;
import org.mangowall.router.decision.DecisionSink;

/** Polls the load of the runners assigned to this router; confined to one thread. */
public final class LoadPoller {

    private final RunnerSettings settings;
    private final RunnerClient client;
    private final Clock clock;
    private final Supplier<DecisionStatus> status;
    private final Supplier<Inventory> inventory;
    private final DecisionSink decisions;
    private final SplittableRandom random;
    private Map<RunnerName, Long> nextPollMillis = new HashMap<>();
    private long requests;

    /** Creates a poller that sends no request before the first {@link #poll}. */
    public LoadPoller(
            RunnerSettings settings,
            RunnerClient client,
            Clock clock,
            Supplier<DecisionStatus> status,
            Supplier<Inventory> inventory,
            DecisionSink decisions,
            long seed) {
        this.settings = settings;
        this.client = client;
        this.clock = clock;
        this.status = status;
        this.inventory = inventory;
        this.decisions = decisions;
        this.random = new SplittableRandom(seed);
    }

    /** Requests the load of every runner whose poll is due. */
    public void poll() {
        long now = clock.millis();
        Map<RunnerName, Long> nextPolls = new HashMap<>();
        for (DecisionStatus.RunnerStatus runner : status.get().runners()) {
            long due = nextPollMillis.getOrDefault(runner.runner(), now);
            if (now >= due) {
                inventory.get().runner(runner.runner()).ifPresent(this::requestLoad);
                due = now + jitteredPeriodMillis();
            }
            nextPolls.put(runner.runner(), due);
        }
        nextPollMillis = nextPolls;
    }

    private long jitteredPeriodMillis() {
        long period = settings.loadPollPeriod().toMillis();
        return period - period / 8 + random.nextLong(period / 4 + 1);
    }

    private void requestLoad(Runner runner) {
        requests++;
        String identifier = "load-" + requests;
        client.pollClient()
                .prepareGet("http://" + RunnerClient.authority(runner) + "/load")
                .setHeader(IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER, identifier)
                .setRequestTimeout(settings.loadTimeout())
                .execute(new LoadReportReader(runner.name(), identifier))
                .toCompletableFuture()
                .thenAccept(answer ->
                        answer.ifPresent(report -> decisions.offer(new DecisionEvent.RunnerReported(report))));
    }
}
