package org.mangowall.platform;

/**
 * An entry host in the platform's list of hosts, which may be out of date.
 *
 * @param name the router's name
 * @param zone its availability zone
 * @param host its IP address
 * @param callerPort its TCP port for callers
 * @param peerPort its TCP port for other routers
 * @param leaving whether it has announced that it is leaving
 */
public record HostEntry(String name, String zone, String host, int callerPort, int peerPort, boolean leaving) {}
