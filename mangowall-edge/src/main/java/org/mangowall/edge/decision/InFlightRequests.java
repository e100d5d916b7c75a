package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The requests of all hosts that have not ended yet, counted at their runners and workspaces. */
final class InFlightRequests {

    /** Requests of other hosts that are older than this are dropped: their end event was lost. */
    private static final long EXPIRY_NANOS = 20_000_000_000L;

    private final WorkspaceShares shares;
    private final Map<String, Map<Long, InFlightRequest>> requestsByHost = new HashMap<>();

    InFlightRequests(WorkspaceShares shares) {
        this.shares = shares;
    }

    private Map<Long, InFlightRequest> requestsOf(String host) {
        return requestsByHost.computeIfAbsent(host, name -> new HashMap<>());
    }

    boolean contains(String host, long number) {
        return requestsOf(host).containsKey(number);
    }

    /** Adds a request; one with the same number ends. */
    void begin(String host, LoadEvent.Sent sent, RunnerState runner, long now) {
        Map<Long, InFlightRequest> requests = requestsOf(host);
        InFlightRequest request = new InFlightRequest(sent, runner, now);
        InFlightRequest replaced = requests.remove(sent.number());
        if (replaced != null) {
            release(replaced);
        }
        requests.put(sent.number(), request);
        runner.begin(request);
        sent.workspace().ifPresent(name -> shares.beginWait(name, sent.costTokens()));
    }

    /** The runner has processed the prompt of a request, so its run has begun. */
    void markResponseStarted(String host, long number, long now) {
        InFlightRequest request = requestsOf(host).get(number);
        if (request == null || request.hasResponseStarted()) {
            return;
        }
        request.runner().markPromptProcessed(request);
        request.markResponseStarted();
        LoadEvent.Sent sent = request.sent();
        sent.workspace().ifPresent(name -> {
            shares.endWait(name, sent.costTokens());
            shares.record(name, sent.costTokens(), now);
        });
    }

    /** Removes and returns a request; empty if it isn't known. */
    Optional<InFlightRequest> end(String host, long number) {
        Optional<InFlightRequest> ended = Optional.ofNullable(requestsOf(host).remove(number));
        ended.ifPresent(this::release);
        return ended;
    }

    /** Ends the requests of a host that are not in its full list. */
    void retain(String host, Set<Long> numbers) {
        Map<Long, InFlightRequest> requests = requestsOf(host);
        Set<Long> ended = new HashSet<>(requests.keySet());
        ended.removeAll(numbers);
        ended.forEach(number -> release(requests.remove(number)));
    }

    /** Ends all requests of a host that left the fleet. */
    void dropHost(String host) {
        Map<Long, InFlightRequest> requests = requestsByHost.remove(host);
        if (requests != null) {
            requests.values().forEach(this::release);
        }
    }

    /** Ends the requests of other hosts whose end event never arrived. */
    void dropExpired(String self, long now) {
        requestsByHost.forEach((host, requests) -> {
            if (!host.equals(self)) {
                requests.values().removeIf(request -> releaseIfExpired(request, now));
            }
        });
    }

    private boolean releaseIfExpired(InFlightRequest request, long now) {
        boolean isExpired = now - request.sentAt() > EXPIRY_NANOS;
        if (isExpired) {
            release(request);
        }
        return isExpired;
    }

    private void release(InFlightRequest request) {
        request.runner().end(request);
        LoadEvent.Sent sent = request.sent();
        if (!request.hasResponseStarted()) {
            sent.workspace().ifPresent(name -> shares.endWait(name, sent.costTokens()));
        }
    }

    /** Returns the requests of a host as events, for its full report to other hosts. */
    List<LoadEvent> eventsOf(String host) {
        List<LoadEvent> events = new ArrayList<>();
        for (InFlightRequest request :
                requestsByHost.getOrDefault(host, Map.of()).values()) {
            events.add(request.sent());
            if (request.hasResponseStarted()) {
                events.add(new LoadEvent.ResponseStarted(request.sent().number()));
            }
        }
        return events;
    }
}
