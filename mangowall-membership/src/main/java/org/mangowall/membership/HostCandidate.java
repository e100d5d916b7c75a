package org.mangowall.membership;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * A router in the platform's list of hosts, which may be outdated: it becomes a member only when it answers.
 *
 * @param name the router's name
 * @param zone its availability zone
 * @param host its IP address
 * @param callerPort its TCP port for callers
 * @param peerPort its TCP port for other routers
 */
public record HostCandidate(RouterName name, ZoneName zone, String host, int callerPort, int peerPort) {}
