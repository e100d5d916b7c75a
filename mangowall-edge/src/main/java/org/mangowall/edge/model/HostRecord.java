package org.mangowall.edge.model;

/**
 * The entry of a host that it publishes to the other hosts.
 *
 * @param name the name of the host
 * @param incarnation number of its process start; a later start has a greater number
 * @param peerAddress address for other hosts, IP:PORT
 * @param callerAddress address for callers, IP:PORT
 * @param zone its availability zone
 * @param processors its processing capacity, in processors of reference speed
 */
public record HostRecord(
        String name, long incarnation, String peerAddress, String callerAddress, String zone, double processors) {}
