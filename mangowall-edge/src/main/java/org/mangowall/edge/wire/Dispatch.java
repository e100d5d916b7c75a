package org.mangowall.edge.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;

/**
 * A caller's request as it is to be sent to a runner.
 *
 * @param request the caller's request
 * @param runner the runner to send it to
 * @param workspace the workspace that the request belongs to; empty on routes that need no API key
 * @param remainingTime the time within which the runner must finish
 * @param cacheHolder a runner from which the key-value cache of the prompt can be fetched
 * @param copy a copy of the run's memory, with which the run goes on
 * @param lastEvent the identifier of the event after which an interrupted stream resumes
 */
public record Dispatch(
        CallerRequest request,
        RunnerEntry runner,
        Optional<String> workspace,
        Duration remainingTime,
        Optional<InetSocketAddress> cacheHolder,
        Optional<RunCopy> copy,
        Optional<String> lastEvent) {}
