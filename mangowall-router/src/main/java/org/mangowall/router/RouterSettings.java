package org.mangowall.router;

import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * All settings of one router process.
 *
 * @param name the name of the router
 * @param zone the availability zone of the router
 * @param callerAddress the listening address for callers
 * @param peerAddress the listening address for other routers
 * @param operatorAddress the listening address for operators and the metrics collector
 * @param operatorTokenFile the file with the operator token; without it operators are not authenticated
 * @param platformEndpoint the base URI of the platform
 * @param schedulingPolicy the name of the scheduling-policy plug-in
 * @param controlPlane the name of the control-plane plug-in
 * @param caller limits and timeouts of caller connections
 * @param peer timeouts and limits of connections between routers
 * @param runner timeouts of connections to runners
 * @param ioThreads the number of network threads
 * @param decisionRingEvents the capacity of the decision duty's ring buffer, in events
 * @param log the format of log lines
 * @param seed the seed of random number generators
 */
public record RouterSettings(
        RouterName name,
        ZoneName zone,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        HostAndPort operatorAddress,
        Optional<Path> operatorTokenFile,
        URI platformEndpoint,
        String schedulingPolicy,
        String controlPlane,
        CallerSettings caller,
        PeerSettings peer,
        RunnerSettings runner,
        int ioThreads,
        int decisionRingEvents,
        LogFormat log,
        long seed) {

    static final String DEFAULT_SCHEDULING_POLICY = "fair";
    static final String DEFAULT_CONTROL_PLANE = "membership";
    static final int DEFAULT_IO_THREADS = 2;
    static final int DEFAULT_DECISION_RING_EVENTS = 8192;

    /** Returns the settings of a router embedded in another program: loopback addresses with ephemeral ports. */
    public static RouterSettings embedded(RouterName name, ZoneName zone, URI platformEndpoint) {
        HostAndPort anyPort = new HostAndPort("127.0.0.1", 0);
        return new RouterSettings(
                name,
                zone,
                anyPort,
                anyPort,
                anyPort,
                Optional.empty(),
                platformEndpoint,
                DEFAULT_SCHEDULING_POLICY,
                DEFAULT_CONTROL_PLANE,
                CallerSettings.DEFAULTS,
                PeerSettings.DEFAULTS,
                RunnerSettings.DEFAULTS,
                DEFAULT_IO_THREADS,
                DEFAULT_DECISION_RING_EVENTS,
                LogFormat.TEXT,
                name.value().hashCode());
    }

    /** Returns a copy with other plug-ins. */
    public RouterSettings withPlugins(String policy, String control) {
        return new RouterSettings(
                name,
                zone,
                callerAddress,
                peerAddress,
                operatorAddress,
                operatorTokenFile,
                platformEndpoint,
                policy,
                control,
                caller,
                peer,
                runner,
                ioThreads,
                decisionRingEvents,
                log,
                seed);
    }

    /** Returns a copy with other limits and timeouts. */
    public RouterSettings withLimits(CallerSettings callers, PeerSettings peers, RunnerSettings runners) {
        return new RouterSettings(
                name,
                zone,
                callerAddress,
                peerAddress,
                operatorAddress,
                operatorTokenFile,
                platformEndpoint,
                schedulingPolicy,
                controlPlane,
                callers,
                peers,
                runners,
                ioThreads,
                decisionRingEvents,
                log,
                seed);
    }
}
