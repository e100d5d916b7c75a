package org.mangowall.router;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.log.PartLog;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformProvider;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.caller.ServiceState;

/** A whole router in this JVM, from {@link #start} to {@link #close}. */
public final class Router implements AutoCloseable {

    private static final PartLog LOG = PartLog.of("router");
    private static final String PLATFORM_PROVIDER = "http";
    private static final Duration DRAIN_POLL = Duration.ofMillis(20);

    private final RouterSettings settings;
    private final RouterParts parts;
    private CompletableFuture<Void> left;

    private Router(RouterSettings settings, RouterParts parts) {
        this.settings = settings;
        this.parts = parts;
    }

    /**
     * Starts a router that reaches the platform as its settings say.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when an address can't be bound or a plug-in is missing
     */
    public static Router start(RouterSettings settings) {
        PlatformClient platform = PluginRegistry.load(PlatformProvider.class)
                .find(PLATFORM_PROVIDER)
                .open(PlatformSettings.of(settings.platformEndpoint()));
        return start(settings, platform, new MonotonicClock());
    }

    /** Starts a router on the given platform and clock; it closes the platform's client at its end. */
    public static Router start(RouterSettings settings, PlatformClient platform, Clock clock) {
        RouterParts parts = new RouterParts(settings, platform, clock);
        try {
            parts.start();
        } catch (RuntimeException failure) {
            parts.close();
            throw failure;
        }
        LOG.info(
                "%s of zone %s serves callers on port %s, routers on port %s, operators on port %s",
                settings.name(), settings.zone(), parts.callerPort(), parts.peerPort(), parts.operatorPort());
        return new Router(settings, parts);
    }

    /** The port for callers. */
    public int callerPort() {
        return parts.callerPort();
    }

    /** The port for other routers. */
    public int peerPort() {
        return parts.peerPort();
    }

    /** The port for operators. */
    public int operatorPort() {
        return parts.operatorPort();
    }

    /** The configuration version in force; 0 when there is none yet. */
    public long configurationVersion() {
        return parts.fleet().inventory().version();
    }

    /** How many routers it knows, itself included. */
    public int knownRouters() {
        return parts.fleet().view().members().size();
    }

    /**
     * Begins a graceful shutdown: leaves the list of entry hosts, goes on serving as long as callers may keep an older
     * list, then finishes every request.
     *
     * @return completes when nothing is open any more, or after the time that settings allow for it
     */
    public synchronized CompletableFuture<Void> leave() {
        if (left == null) {
            parts.setState(ServiceState.LEAVING);
            left = CompletableFuture.runAsync(this::runLeave, step -> new Thread(step, "mangowall-leave").start());
        }
        return left;
    }

    private void runLeave() {
        LOG.info("the shutdown begins; no new callers are asked to come here");
        parts.control().leave();
        parts.decisions().post(new DecisionEvent.LeaveBegan());
        pause(settings.caller().entryHostsKeepTime());
        parts.setState(ServiceState.DRAINING);
        parts.stopListening();
        long deadline = System.nanoTime() + settings.caller().drainTimeout().toNanos();
        while (parts.openRequests() > 0 && System.nanoTime() < deadline) {
            pause(DRAIN_POLL);
        }
        LOG.info("the shutdown ends with %s open requests", parts.openRequests());
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the router at once; {@link #leave} first for a shutdown that cuts no request. */
    @Override
    public void close() {
        parts.close();
    }
}
