package org.mangowall.edge.model;

/**
 * A host of the fleet as the others see it.
 *
 * @param name its name
 * @param incarnation the start of its process; a later start has a greater number
 * @param peerAddress where other hosts reach it, IP:PORT
 * @param callerAddress where callers reach it, IP:PORT
 * @param zone its availability zone
 * @param processors what its processor bears, in processors of the usual speed
 */
public record HostRecord(
        String name, long incarnation, String peerAddress, String callerAddress, String zone, double processors) {}
