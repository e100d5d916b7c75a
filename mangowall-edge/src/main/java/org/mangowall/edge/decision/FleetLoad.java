package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangowall.edge.model.EngineTraits;
import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;

/**
 * What one host believes of the work of the whole fleet: its own, and what the other hosts told.
 *
 * <p>Used by one thread.
 */
public final class FleetLoad {

    /** How much longer than told a runner is taken to be cold, for the age of the entry. */
    private static final long COLD_MARGIN_NANOS = 200_000_000L;
    /** Work of another host that didn't end by then is forgotten: its news was lost. */
    private static final long WORK_LIFE_NANOS = 20_000_000_000L;

    private final String self;
    private final Map<String, RunnerState> runners = new HashMap<>();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, Map<Long, Work>> workByHost = new HashMap<>();
    private final Map<String, LoadEvent.PartsCached> keptBeforeListed = new HashMap<>();
    private final Set<String> closedZones = new HashSet<>();
    private final WorkspaceShares shares;
    private Collection<String> hosts;
    private double tokensPerSecond;
    private RouteTable table;

    /**
     * Starts without runners.
     *
     * @param self the name of this host
     * @param shareWindowNanos the window over which workspaces are compared
     */
    public FleetLoad(String self, long shareWindowNanos) {
        this.self = self;
        this.hosts = List.of(self);
        this.shares = new WorkspaceShares(shareWindowNanos);
    }

    /** Takes the services of a configuration. */
    public void installTable(RouteTable newTable) {
        table = newTable;
        tokensPerSecond = table.tokensPerSecond();
        services.forEach((name, state) -> table.service(name).ifPresent(state::describe));
        List<RunnerEntry> undescribed = new ArrayList<>();
        for (RunnerState runner : runners.values()) {
            if (!runner.hasCacheOf(engineOf(runner.entry().service()))) {
                undescribed.add(runner.entry());
            }
        }
        undescribed.forEach(entry -> {
            removeRunner(entry.identifier());
            installRunner(entry, 0);
        });
    }

    private EngineTraits engineOf(String service) {
        return service(service).engine().orElse(null);
    }

    ServiceState service(String name) {
        ServiceState state = services.computeIfAbsent(name, unknown -> new ServiceState());
        if (state.description().isEmpty() && table != null) {
            table.service(name).ifPresent(state::describe);
        }
        return state;
    }

    /** Takes a new or changed entry of a runner. */
    public void installRunner(RunnerEntry entry, long now) {
        RunnerState known = runners.get(entry.identifier());
        if (known != null && known.entry().isSameStart(entry)) {
            known.replaceEntry(entry);
            noteCold(known, entry, now);
            return;
        }
        removeRunner(entry.identifier());
        ServiceState service = service(entry.service());
        RunnerState added = new RunnerState(entry, service.engine().orElse(null));
        runners.put(entry.identifier(), added);
        service.runners().add(added);
        noteCold(added, entry, now);
        LoadEvent.PartsCached kept = keptBeforeListed.remove(entry.identifier());
        if (kept != null) {
            noteKept(kept);
        }
    }

    private static void noteCold(RunnerState runner, RunnerEntry entry, long now) {
        if (entry.coldLeft().isPositive()) {
            runner.coldPace().setCold(now + entry.coldLeft().toNanos() + COLD_MARGIN_NANOS);
        }
    }

    /** Forgets a runner; its work is forgotten when it ends. */
    public void removeRunner(String identifier) {
        RunnerState removed = runners.remove(identifier);
        if (removed != null) {
            service(removed.entry().service()).runners().remove(removed);
        }
    }

    /** Whether other runners may copy from a runner: also from one that gets no more work. */
    boolean mayBeCopied(RunnerState runner, long now) {
        return !runner.health().isPaused(now);
    }

    /** The entry of a runner. */
    public Optional<RunnerEntry> runner(String identifier) {
        return Optional.ofNullable(runners.get(identifier)).map(RunnerState::entry);
    }

    Optional<RunnerState> runnerState(String identifier) {
        return Optional.ofNullable(runners.get(identifier));
    }

    /** Whether a runner may still be given work: it is listed, not leaving, and its zone is open. */
    public boolean isOpen(RunnerEntry entry) {
        RunnerState state = runners.get(entry.identifier());
        return state != null
                && state.entry().isSameStart(entry)
                && !state.entry().isLeaving()
                && !closedZones.contains(entry.zone());
    }

    public int runnerCount() {
        return runners.size();
    }

    /** Takes an availability zone out. */
    public void closeZone(String zone) {
        closedZones.add(zone);
    }

    /** Takes an availability zone back; its runners may have become cold meanwhile. */
    public void openZone(String zone, long now) {
        if (!closedZones.remove(zone)) {
            return;
        }
        for (RunnerState runner : runners.values()) {
            if (runner.entry().zone().equals(zone)) {
                assumeCold(runner, now);
            }
        }
    }

    private void assumeCold(RunnerState runner, long now) {
        service(runner.entry().service())
                .description()
                .ifPresent(description ->
                        runner.coldPace().setCold(now + description.coldTime().toNanos()));
    }

    /** Takes the names of the hosts that take requests, this one included. */
    public void setHosts(Collection<String> names) {
        hosts = List.copyOf(names);
    }

    /** How many hosts take requests, this one included. */
    public int hostCount() {
        return hosts.size();
    }

    Collection<String> hosts() {
        return hosts;
    }

    /** The name of this host. */
    public String self() {
        return self;
    }

    /** Takes news of this host's or another host's work. */
    public void apply(String host, LoadEvent event, long now) {
        Map<Long, Work> works = workByHost.computeIfAbsent(host, name -> new HashMap<>());
        switch (event) {
            case LoadEvent.Sent sent -> {
                sent.workspace().ifPresent(name -> shares.record(name, sent.costTokens(), now));
                RunnerState runner = runners.get(sent.runner());
                if (runner != null) {
                    end(works.remove(sent.number()));
                    begin(works, new Work(sent, runner, now));
                    runner.coldPace().recordSent(hosts.size(), coldRate(runner), now);
                }
            }
            case LoadEvent.AnswerBegun began -> {
                Work work = works.get(began.number());
                if (work != null && !work.hasBegun()) {
                    work.runner().promptRead(work);
                    work.begin();
                }
            }
            case LoadEvent.Ended ended -> end(works.remove(ended.number()));
            case LoadEvent.PartsCached kept -> noteKept(kept);
            case LoadEvent.Unreachable unreachable -> {
                RunnerState runner = runners.get(unreachable.runner());
                if (runner != null && !host.equals(self)) {
                    runner.health().unreachable(now);
                }
            }
        }
    }

    /**
     * Takes all work of another host that has not ended, in place of what was believed; repairs what was lost on the
     * way.
     */
    public void restate(String host, List<LoadEvent> running, long now) {
        Map<Long, Work> works = workByHost.computeIfAbsent(host, name -> new HashMap<>());
        Set<Long> numbers = new HashSet<>();
        for (LoadEvent event : running) {
            if (event instanceof LoadEvent.Sent sent) {
                numbers.add(sent.number());
                RunnerState runner = runners.get(sent.runner());
                if (runner != null && !works.containsKey(sent.number())) {
                    begin(works, new Work(sent, runner, now));
                }
            } else {
                apply(host, event, now);
            }
        }
        works.entrySet().removeIf(entry -> {
            boolean hasEnded = !numbers.contains(entry.getKey());
            if (hasEnded) {
                end(entry.getValue());
            }
            return hasEnded;
        });
    }

    private static void begin(Map<Long, Work> works, Work work) {
        works.put(work.sent().number(), work);
        work.runner().begin(work);
    }

    private void noteKept(LoadEvent.PartsCached kept) {
        RunnerState runner = runners.get(kept.runner());
        if (runner == null) {
            keptBeforeListed.put(kept.runner(), kept);
            return;
        }
        runner.cache().reading(kept.parts());
        runner.cache().read(kept.parts());
    }

    private double coldRate(RunnerState runner) {
        return service(runner.entry().service()).coldRequestsPerSecond();
    }

    private static void end(Work work) {
        if (work != null) {
            work.runner().end(work);
        }
    }

    /** Forgets all work of a host that is gone. */
    public void dropHost(String host) {
        Map<Long, Work> works = workByHost.remove(host);
        if (works != null) {
            works.values().forEach(FleetLoad::end);
        }
    }

    /** Forgets work of other hosts whose end was never told. */
    public void forgetOldWork(long now) {
        keptBeforeListed.clear();
        for (Map.Entry<String, Map<Long, Work>> entry : workByHost.entrySet()) {
            if (entry.getKey().equals(self)) {
                continue;
            }
            entry.getValue().values().removeIf(work -> {
                boolean isOld = now - work.sentAt() > WORK_LIFE_NANOS;
                if (isOld) {
                    end(work);
                }
                return isOld;
            });
        }
    }

    /** This host's work that has not ended, for hosts that start listening. */
    public List<LoadEvent> ownWork() {
        List<LoadEvent> events = new ArrayList<>();
        for (Work work : workByHost.getOrDefault(self, Map.of()).values()) {
            events.add(work.sent());
            if (work.hasBegun()) {
                events.add(new LoadEvent.AnswerBegun(work.sent().number()));
            }
        }
        return events;
    }

    /** How many requests of all hosts a runner is believed to run; 0 when it isn't listed. */
    public int runningAt(String identifier) {
        return runnerState(identifier).map(RunnerState::running).orElse(0);
    }

    /** How long an idle runner of a service takes to read so many tokens and give the first one. */
    double readMillis(String serviceName, double tokens) {
        return service(serviceName).firstToken().predictMillis(tokens);
    }

    /** The parts that runners are believed to keep, for a host that has just started. */
    public List<LoadEvent.PartsCached> keptParts() {
        List<LoadEvent.PartsCached> kept = new ArrayList<>();
        runners.forEach((identifier, runner) -> {
            List<PromptPart> parts = runner.cache().readParts();
            if (!parts.isEmpty()) {
                kept.add(new LoadEvent.PartsCached(identifier, parts));
            }
        });
        return kept;
    }

    /** How a workspace stands against its share; over 1 when it takes more. */
    ShareLoad shareLoad(String workspace, long windowNanos, long now) {
        double capacity = tokensPerSecond <= 0 ? Double.POSITIVE_INFINITY : tokensPerSecond * windowNanos / 1e9;
        return shares.loadOf(workspace, capacity, now);
    }

    /** The runner answered a request. */
    public void answered(String identifier, boolean isTrouble, long now) {
        runnerState(identifier).ifPresent(runner -> {
            if (runner.health().wasUnreachable()) {
                assumeCold(runner, now);
            }
            runner.health().answered(isTrouble, now);
            service(runner.entry().service()).troubles().record(isTrouble, now);
        });
    }

    /** The runner turned a request away without running it. */
    public void shed(String identifier, long now) {
        runnerState(identifier).ifPresent(runner -> runner.health().shed(now));
    }

    /** The runner can't be reached. */
    public void unreachable(String identifier, long now) {
        runnerState(identifier).ifPresent(runner -> runner.health().unreachable(now));
    }

    /** The runner says how much longer it is cold. */
    public void coldFor(String identifier, long leftNanos, long now) {
        runnerState(identifier).ifPresent(runner -> runner.coldPace().setCold(now + leftNanos));
    }

    /** A stream's first event came. */
    public void firstEvent(String identifier, double waitedTokens, double millis) {
        runnerState(identifier).ifPresent(runner -> {
            FirstTokenModel model = service(runner.entry().service()).firstToken();
            double predicted = model.predictMillis(waitedTokens) * runner.slowness();
            model.record(waitedTokens, millis);
            runner.observeSpeed(millis / Math.max(1, predicted));
        });
    }

    /** A request ended well. */
    public void completed(String identifier, double millis) {
        runnerState(identifier)
                .ifPresent(runner -> service(runner.entry().service()).recordDuration(millis));
    }
}
