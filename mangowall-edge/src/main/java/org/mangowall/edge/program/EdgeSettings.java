package org.mangowall.edge.program;

import java.time.Duration;
import java.util.List;

import org.mangowall.edge.traffic.EdgeBounds;
import org.mangowall.inventory.checked.HostAndPort;

/**
 * The settings of a host.
 *
 * @param name the name of the host
 * @param zone its availability zone
 * @param processors its processing capacity, in processors of reference speed
 * @param descriptors how many descriptors the process may have; 0 if the operating system states it
 * @param isFirstStart whether the whole fleet starts for the first time
 * @param callerAddress the address for callers' requests
 * @param refusesWhenBehind whether connections of callers are refused while this host's link or processor is behind
 * @param directoryAddress the address at which callers query which hosts to use
 * @param readinessAddress the address of the platform's readiness check
 * @param peerAddress the address for connections of other hosts
 * @param metricsAddress the address at which metrics are served
 * @param peerSeeds peer addresses of some other hosts
 * @param adapter the name of the platform adapter plug-in
 * @param store the address of the platform's store
 * @param memory the memory that the host may use
 * @param bounds the limits that the operators configure
 * @param directoryCacheTime how long callers may cache a response of the directory
 * @param grace the longest time from the termination signal to the exit of the process
 */
public record EdgeSettings(
        String name,
        String zone,
        double processors,
        int descriptors,
        boolean isFirstStart,
        HostAndPort callerAddress,
        boolean refusesWhenBehind,
        HostAndPort directoryAddress,
        HostAndPort readinessAddress,
        HostAndPort peerAddress,
        HostAndPort metricsAddress,
        List<HostAndPort> peerSeeds,
        String adapter,
        HostAndPort store,
        MemorySettings memory,
        EdgeBounds bounds,
        Duration directoryCacheTime,
        Duration grace) {}
