package org.mangowall.membership;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * A router that the platform's lagging list names; only its own answer makes it a member.
 *
 * @param name the router
 * @param zone its availability zone
 * @param host its IP address
 * @param callerPort its TCP port for callers
 * @param peerPort its TCP port for other routers
 */
public record HostCandidate(RouterName name, ZoneName zone, String host, int callerPort, int peerPort) {}
