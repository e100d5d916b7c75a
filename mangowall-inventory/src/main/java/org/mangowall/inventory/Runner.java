package org.mangowall.inventory;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.ZoneName;

/**
 * A runner, which is a model engine or a plain service process.
 *
 * @param name the name of the runner
 * @param service the service that it offers
 * @param zone the availability zone in which it runs
 * @param host its IP address
 * @param port its TCP port
 * @param slots the number of requests it can process concurrently when warm, at least 1
 * @param draining whether operators are draining it, so that it receives no new requests
 */
public record Runner(
        RunnerName name, ServiceName service, ZoneName zone, String host, int port, int slots, boolean draining) {}
