package org.mangowall.edge.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.RunnerEntry;

/**
 * One sending of a request to a runner.
 *
 * @param request the caller's request
 * @param runner where it goes
 * @param workspace whose request it is; empty on open routes
 * @param timeLeft how long the runner may work
 * @param cacheHolder a runner from which the key-value cache of the prompt is fetched
 * @param lastEvent the event after which a stream shall go on
 */
public record Dispatch(
        CallerRequest request,
        RunnerEntry runner,
        Optional<String> workspace,
        Duration timeLeft,
        Optional<InetSocketAddress> cacheHolder,
        Optional<String> lastEvent) {}
