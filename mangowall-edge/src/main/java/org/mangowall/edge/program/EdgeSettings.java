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
 * @param processors what its processor bears, in processors of the usual speed
 * @param isFirstStart whether the whole fleet starts for the first time
 * @param callerAddress where callers connect
 * @param directoryAddress where callers ask which hosts to use
 * @param readinessAddress where the platform asks whether the host takes requests
 * @param peerAddress where other hosts connect
 * @param metricsAddress where metrics are served
 * @param peerSeeds where some other hosts may be found
 * @param adapter the plug-in that speaks the platform's language
 * @param store the address of the platform's store
 * @param bounds the bounds that the operators set
 * @param answerLife how long callers may keep the answer of the directory
 * @param grace the time between the signal to end and the end
 */
public record EdgeSettings(
        String name,
        String zone,
        double processors,
        boolean isFirstStart,
        HostAndPort callerAddress,
        HostAndPort directoryAddress,
        HostAndPort readinessAddress,
        HostAndPort peerAddress,
        HostAndPort metricsAddress,
        List<HostAndPort> peerSeeds,
        String adapter,
        HostAndPort store,
        EdgeBounds bounds,
        Duration answerLife,
        Duration grace) {}
