package org.mangowall.inventory;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.ZoneName;

/**
 * A runner: one model engine or plain service process.
 *
 * @param name the runner
 * @param service the service that it offers
 * @param zone the availability zone in which it stands
 * @param host the IP address
 * @param port the TCP port
 * @param slots the requests it bears at once when warm, at least 1
 * @param draining whether operators have asked that it gets no new work
 */
public record Runner(
        RunnerName name, ServiceName service, ZoneName zone, String host, int port, int slots, boolean draining) {}
