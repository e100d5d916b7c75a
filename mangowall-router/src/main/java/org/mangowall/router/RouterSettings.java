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
 * @param name the router
 * @param zone the availability zone in which it stands
 * @param callerAddress where callers connect
 * @param peerAddress where other routers connect
 * @param operatorAddress where operators and the metrics collector connect
 * @param operatorTokenFile the file with the token that operators must show; nobody is asked when there is none
 * @param platformEndpoint the base address of the platform
 * @param schedulingPolicy the plug-in that decides
 * @param controlPlane the plug-in for membership, configuration and claims
 * @param caller the bounds on the side of callers
 * @param peer the timing between routers
 * @param runner the timing towards runners
 * @param ioThreads the network threads
 * @param decisionRingEvents the events that may wait for the decision duty
 * @param log how the process logs
 * @param seed the start of all random choices
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

    /** Settings of a router inside another program: loopback, ports chosen by the system. */
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

    /** The same settings with other plug-ins. */
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

    /** The same settings with other bounds and timing. */
    public RouterSettings withBounds(CallerSettings callers, PeerSettings peers, RunnerSettings runners) {
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
