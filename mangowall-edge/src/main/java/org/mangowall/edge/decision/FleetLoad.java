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
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;

/**
 * One host's estimate of the load on all runners, from its own requests and the events of the other hosts.
 *
 * <p>Not thread-safe: used by one thread only.
 */
public final class FleetLoad {

    /** Added to the reported cold time of a runner, because its entry may be that old. */
    private static final long COLD_MARGIN_NANOS = 200_000_000L;

    private final String self;
    private final Map<String, RunnerState> runners = new HashMap<>();
    private final StatedRateLimits rateLimits = new StatedRateLimits(runners);
    private final StatedLoads statedLoads = new StatedLoads(runners);
    private final Map<String, ServiceState> services = new HashMap<>();
    /** Parts that other hosts reported as cached at runners that the store hasn't listed yet. */
    private final Map<String, LoadEvent.PartsCached> cachedBeforeListing = new HashMap<>();

    private final StreamOrigins streamOrigins = new StreamOrigins();
    private final Set<String> closedZones = new HashSet<>();
    private final CrashQuarantine quarantine;
    private final WorkspaceShares shares;
    private final InFlightRequests inFlight;
    private Collection<String> hosts;
    private double tokensPerSecond;
    private RouteTable table;

    /**
     * Creates a state without runners.
     *
     * @param self the name of this host
     * @param shareWindowNanos the sliding window over which the usage of workspaces is compared
     */
    public FleetLoad(String self, long shareWindowNanos) {
        this.self = self;
        this.hosts = List.of(self);
        this.quarantine = new CrashQuarantine(self);
        this.shares = new WorkspaceShares(shareWindowNanos);
        this.inFlight = new InFlightRequests(shares);
    }

    /** Installs a version of the configuration; all that is known of the runners lives on. */
    public void installTable(RouteTable newTable) {
        table = newTable;
        tokensPerSecond = table.tokensPerSecond();
        services.forEach(this::describe);
        runners.values()
                .forEach(runner -> runner.setEngine(engineOf(runner.entry().service())));
    }

    private EngineTraits engineOf(String service) {
        return service(service).engine().orElse(null);
    }

    ServiceState service(String name) {
        ServiceState state = services.computeIfAbsent(name, unknown -> new ServiceState());
        if (state.description().isEmpty() && table != null) {
            describe(name, state);
        }
        return state;
    }

    private void describe(String name, ServiceState state) {
        table.service(name).ifPresent(description -> state.describe(description, table.shortestGapGoal(name)));
    }

    /** Adds a runner or updates its entry; a new incarnation of the same runner replaces the old state. */
    public void installRunner(RunnerEntry entry, long now) {
        RunnerState known = runners.get(entry.identifier());
        if (known != null && known.entry().isSameIncarnation(entry)) {
            known.replaceEntry(entry);
            markColdFromEntry(known, entry, now);
            return;
        }
        removeRunner(entry.identifier(), now);
        ServiceState service = service(entry.service());
        RunnerState added = new RunnerState(entry, service.engine().orElse(null));
        runners.put(entry.identifier(), added);
        service.addRunner(added, now);
        markColdFromEntry(added, entry, now);
        LoadEvent.PartsCached partsCached = cachedBeforeListing.remove(entry.identifier());
        if (partsCached != null) {
            recordCachedParts(partsCached);
        }
    }

    private static void markColdFromEntry(RunnerState runner, RunnerEntry entry, long now) {
        if (entry.coldLeft().isPositive()) {
            runner.coldStartLimiter().markColdUntil(now + entry.coldLeft().toNanos() + COLD_MARGIN_NANOS);
        }
    }

    /** Removes a runner; its in-flight requests are dropped when they end. */
    public void removeRunner(String identifier, long now) {
        RunnerState removed = runners.remove(identifier);
        if (removed != null) {
            quarantine.recordRunnerGone(identifier);
            service(removed.entry().service()).removeRunner(removed, now);
        }
    }

    /**
     * Returns where a stream that a caller takes up began. It is empty if that isn't known and several software
     * versions come into question, or if the route no longer leads to that service.
     *
     * @param request identifier of the request that began the stream; empty if the caller doesn't state it
     */
    public Optional<StreamOrigin> originOf(Optional<String> request, Route route, long now) {
        Optional<StreamOrigin> recorded = request.flatMap(identifier -> streamOrigins.find(identifier, now));
        if (recorded.isPresent()) {
            return recorded.filter(origin -> route.leadsTo(origin.service()));
        }
        if (route.services().size() > 1) {
            return Optional.empty();
        }
        String onlyService = route.services().getFirst().service();
        return service(onlyService)
                .onlySoftwareVersion(now)
                .map(version -> new StreamOrigin(request.orElse(""), onlyService, version));
    }

    /** Returns the origins of recent streams of all hosts, for a host that has just started. */
    public List<LoadEvent.StreamBegan> recentStreams(long now) {
        return streamOrigins.recent(now).stream()
                .map(LoadEvent.StreamBegan::new)
                .toList();
    }

    /** Returns the origins of streams that began on this host just now, for its full report. */
    public List<LoadEvent.StreamBegan> ownRecentStreams(long now) {
        return streamOrigins.justBegun(self, now).stream()
                .map(LoadEvent.StreamBegan::new)
                .toList();
    }

    /** Returns what is suspected to crash runners, or in quarantine because it does. */
    public CrashQuarantine quarantine() {
        return quarantine;
    }

    /** Returns the rate limits that runners have stated. */
    public StatedRateLimits rateLimits() {
        return rateLimits;
    }

    /** Returns the loads that runners have stated. */
    public StatedLoads statedLoads() {
        return statedLoads;
    }

    /** Whether other runners may fetch key-value cache from a runner, including one that takes no more requests. */
    boolean canServeCache(RunnerState runner, long now) {
        return !runner.health().isPaused(now);
    }

    /** Returns the entry of a runner. */
    public Optional<RunnerEntry> runner(String identifier) {
        return Optional.ofNullable(runners.get(identifier)).map(RunnerState::entry);
    }

    Optional<RunnerState> runnerState(String identifier) {
        return Optional.ofNullable(runners.get(identifier));
    }

    /** Whether a runner accepts requests: it is listed, not leaving, and its availability zone isn't closed. */
    public boolean acceptsRequests(RunnerEntry entry) {
        RunnerState state = runners.get(entry.identifier());
        return state != null
                && state.entry().isSameIncarnation(entry)
                && !state.entry().isDraining()
                && !state.isLeaving()
                && !closedZones.contains(entry.zone());
    }

    /** Returns the entries of all runners. */
    public List<RunnerEntry> runnerEntries() {
        return runners.values().stream().map(RunnerState::entry).toList();
    }

    public int runnerCount() {
        return runners.size();
    }

    /** Stops sending requests to the runners of an availability zone. */
    public void closeZone(String zone) {
        closedZones.add(zone);
    }

    /** Resumes sending to an availability zone; its runners are assumed to be cold. */
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
                .ifPresent(description -> runner.coldStartLimiter()
                        .markColdUntil(now + description.coldTime().toNanos()));
    }

    /** Sets the names of the hosts that take requests, including this one. */
    public void setHosts(Collection<String> names) {
        hosts = List.copyOf(names);
    }

    /** Returns the number of hosts that take requests, including this one. */
    public int hostCount() {
        return hosts.size();
    }

    Collection<String> hosts() {
        return hosts;
    }

    /** Returns the name of this host. */
    public String self() {
        return self;
    }

    /** Applies an event of this host or another host. */
    public void apply(String host, LoadEvent event, long now) {
        switch (event) {
            case LoadEvent.Sent sent -> {
                sent.stream().ifPresent(origin -> streamOrigins.record(origin, host, now));
                RunnerState runner = runners.get(sent.runner());
                if (runner == null) {
                    sent.workspace().ifPresent(name -> shares.record(name, sent.costTokens(), now));
                } else {
                    inFlight.begin(host, sent, runner, now);
                    runner.coldStartLimiter().recordSent(hosts.size(), coldRate(runner), now);
                    runner.rateLimiter().recordSent(now);
                    service(runner.entry().service()).recordPrompt(sent.prefillTokens(), now);
                }
            }
            case LoadEvent.ResponseStarted started -> inFlight.markResponseStarted(host, started.number(), now);
            case LoadEvent.Ended ended -> ended(host, ended, now);
            case LoadEvent.Quarantined quarantined -> quarantine.adopt(quarantined, now);
            case LoadEvent.RunnerLeaving leaving ->
                runnerState(leaving.runner()).ifPresent(RunnerState::markLeaving);
            case LoadEvent.RateLimitStated stated -> rateLimits.adopt(stated, now);
            case LoadEvent.LoadStated stated -> statedLoads.adopt(stated, now);
            case LoadEvent.TurnedAway turnedAway ->
                shares.recordTurnedAway(turnedAway.workspace(), turnedAway.costTokens(), now);
            case LoadEvent.PartsCached partsCached -> recordCachedParts(partsCached);
            case LoadEvent.StreamBegan began -> streamOrigins.record(began.origin(), host, now);
            case LoadEvent.Unreachable unreachable -> {
                RunnerState runner = runners.get(unreachable.runner());
                if (runner != null && !host.equals(self)) {
                    runner.health().recordUnreachable(now);
                }
            }
        }
    }

    /**
     * Replaces the known in-flight requests of another host by its full list, which corrects for lost events.
     *
     * @param running a {@code Sent} event for each request, and a {@code ResponseStarted} event if its response has
     *     started
     */
    public void applySnapshot(String host, List<LoadEvent> running, long now) {
        Set<Long> numbers = new HashSet<>();
        for (LoadEvent event : running) {
            if (event instanceof LoadEvent.Sent sent) {
                numbers.add(sent.number());
                if (inFlight.contains(host, sent.number())) {
                    continue;
                }
                sent.stream().ifPresent(origin -> streamOrigins.record(origin, host, now));
                RunnerState runner = runners.get(sent.runner());
                if (runner != null) {
                    inFlight.begin(host, sent, runner, now);
                }
            } else {
                apply(host, event, now);
            }
        }
        inFlight.retain(host, numbers);
    }

    private void recordCachedParts(LoadEvent.PartsCached partsCached) {
        RunnerState runner = runners.get(partsCached.runner());
        if (runner == null) {
            cachedBeforeListing.put(partsCached.runner(), partsCached);
            return;
        }
        runner.cache().addPrompt(partsCached.parts());
        runner.cache().markProcessed(partsCached.parts());
    }

    private double coldRate(RunnerState runner) {
        return service(runner.entry().service()).coldRequestsPerSecond();
    }

    private void ended(String host, LoadEvent.Ended ended, long now) {
        inFlight.end(host, ended.number()).ifPresent(request -> recordOutcome(host, request, ended, now));
    }

    private void recordOutcome(String host, InFlightRequest request, LoadEvent.Ended ended, long now) {
        switch (ended.outcome()) {
            case COMPLETE -> quarantine.recordComplete(request, ended.fingerprint(), host, now);
            case LOST -> quarantine.recordLost(request, ended.fingerprint(), host, hosts.size(), now);
            default -> {
                // Other outcomes say nothing about the request.
            }
        }
    }

    /** Drops all in-flight requests of a host that left the fleet. */
    public void dropHost(String host) {
        inFlight.dropHost(host);
    }

    /**
     * Drops in-flight requests of other hosts whose end event never arrived, cached parts of unlisted runners, and what
     * was suspected long ago to crash runners.
     */
    public void dropExpired(long now) {
        cachedBeforeListing.clear();
        quarantine.dropExpired(now);
        inFlight.dropExpired(self, now);
    }

    /** Returns this host's in-flight requests as events, for its full report to other hosts. */
    public List<LoadEvent> ownInFlightRequests() {
        return inFlight.eventsOf(self);
    }

    /** Returns the estimated number of requests that a runner runs for all hosts; 0 when it isn't listed. */
    public int runningAt(String identifier) {
        return runnerState(identifier).map(RunnerState::running).orElse(0);
    }

    /** Returns the predicted time to first token on an idle runner for a prompt of this length. */
    double idleFirstTokenMillis(String serviceName, double tokens) {
        return service(serviceName).firstToken().predictMillis(tokens);
    }

    /** Returns the prompt parts that runners are estimated to cache, for a host that has just started. */
    public List<LoadEvent.PartsCached> cachedParts() {
        List<LoadEvent.PartsCached> cached = new ArrayList<>();
        runners.forEach((identifier, runner) -> {
            List<PromptPart> parts = runner.cache().fetchableParts();
            if (!parts.isEmpty()) {
                cached.add(new LoadEvent.PartsCached(identifier, parts));
            }
        });
        return cached;
    }

    /** Returns the usage of a workspace as multiples of its fair share; above 1 it takes more than its share. */
    FairShareUsage fairShareUsage(String workspace, long windowNanos, long now) {
        double capacity = tokensPerSecond <= 0 ? Double.POSITIVE_INFINITY : tokensPerSecond * windowNanos / 1e9;
        return shares.usageOf(workspace, capacity, now);
    }

    /** Returns what the workspaces that asked most lately asked and used, the largest first. */
    public List<WorkspaceDemand> largestWorkspaces(int count, long now) {
        return shares.largest(count, now);
    }

    /** Records that a runner responded to a request, and whether that counts as a failure. */
    public void recordResponse(String identifier, boolean isFailure, long now) {
        runnerState(identifier).ifPresent(runner -> {
            if (runner.health().wasUnreachable()) {
                assumeCold(runner, now);
            }
            runner.health().recordResponse(isFailure, now);
            service(runner.entry().service()).failures().record(isFailure, now);
        });
    }

    /**
     * Records that a runner rejected a request without running it.
     *
     * @param requestedPauseNanos how long the runner asks this host to wait; 0 if it doesn't
     */
    public void recordRejection(String identifier, long requestedPauseNanos, long now) {
        runnerState(identifier).ifPresent(runner -> runner.health().recordRejection(requestedPauseNanos, now));
    }

    /** Whether a runner has said, in a response to any host, that it leaves. */
    public boolean isLeaving(String identifier) {
        return runnerState(identifier).map(RunnerState::isLeaving).orElse(false);
    }

    /** Records that a runner couldn't be reached. */
    public void recordUnreachable(String identifier, long now) {
        runnerState(identifier).ifPresent(runner -> runner.health().recordUnreachable(now));
    }

    /** Records how much longer a runner reports to be cold. */
    public void recordColdTime(String identifier, long leftNanos, long now) {
        runnerState(identifier).ifPresent(runner -> runner.coldStartLimiter().markColdUntil(now + leftNanos));
    }

    /**
     * Records the time to first token of a stream, which updates the service's model and the runner's slowness.
     *
     * @param ownDelayMillis the part of it that this host's own network path took
     */
    public void recordFirstToken(String identifier, double waitedTokens, double millis, double ownDelayMillis) {
        double atRunner = Math.max(1, millis - ownDelayMillis);
        runnerState(identifier).ifPresent(runner -> {
            FirstTokenModel model = service(runner.entry().service()).firstToken();
            double predicted = model.predictMillis(waitedTokens) * runner.slowness();
            model.record(waitedTokens, atRunner);
            runner.recordLatencyRatio(atRunner / Math.max(1, predicted));
        });
    }

    /** Records the duration of a successful request. */
    public void recordCompletion(String identifier, double millis) {
        runnerState(identifier)
                .ifPresent(runner -> service(runner.entry().service())
                        .recordDuration(millis / runner.loadEstimate().lastPace()));
    }
}
