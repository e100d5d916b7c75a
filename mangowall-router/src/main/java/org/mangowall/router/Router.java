package org.mangowall.router;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformProvider;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.caller.LifecycleState;

/** A router that runs in this JVM from {@link #start} to {@link #close}. */
public final class Router implements AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("router");
    private static final String PLATFORM_PROVIDER = "http";
    private static final Duration DRAIN_POLL_PERIOD = Duration.ofMillis(20);
    /** Time in which the final answers of requests that outlast the drain timeout are sent. */
    private static final Duration FINAL_ANSWERS_PERIOD = Duration.ofMillis(150);

    private final RouterSettings settings;
    private final RouterComponents components;
    private CompletableFuture<Void> leaveFuture;

    private Router(RouterSettings settings, RouterComponents components) {
        this.settings = settings;
        this.components = components;
    }

    /**
     * Starts a router that connects to the platform endpoint of its settings.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when an address can't be bound or a plug-in is missing
     */
    public static Router start(RouterSettings settings) {
        PlatformClient platform = PluginRegistry.load(PlatformProvider.class)
                .find(PLATFORM_PROVIDER)
                .open(PlatformSettings.of(settings.platformEndpoint()));
        return start(settings, platform, new MonotonicClock());
    }

    /** Starts a router on the given platform client and clock; {@link #close} closes the client too. */
    public static Router start(RouterSettings settings, PlatformClient platform, Clock clock) {
        RouterComponents components = new RouterComponents(settings, platform, clock);
        try {
            components.start();
        } catch (RuntimeException failure) {
            components.close();
            throw failure;
        }
        LOG.info(
                "%s of zone %s serves callers on port %s, routers on port %s, operators on port %s",
                settings.name(),
                settings.zone(),
                components.callerPort(),
                components.peerPort(),
                components.operatorPort());
        return new Router(settings, components);
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return components.callerPort();
    }

    /** Returns the port for other routers. */
    public int peerPort() {
        return components.peerPort();
    }

    /** Returns the port for operators. */
    public int operatorPort() {
        return components.operatorPort();
    }

    /** Returns the configuration version in force; 0 if there is none yet. */
    public long configurationVersion() {
        return components.fleet().inventory().version();
    }

    /** Returns the number of known routers, including this one. */
    public int knownRouters() {
        return components.fleet().view().members().size();
    }

    /**
     * Starts a graceful shutdown: leaves the list of entry hosts, keeps serving as long as callers may cache an older
     * list, then stops listening and finishes the open requests.
     *
     * @return completes when no request is open, or shortly after the drain timeout of the settings, when the requests
     *     that are still open got their final answer
     */
    public synchronized CompletableFuture<Void> leave() {
        if (leaveFuture == null) {
            components.setShutdownState(LifecycleState.LEAVING);
            leaveFuture =
                    CompletableFuture.runAsync(this::runLeave, task -> new Thread(task, "mangowall-leave").start());
        }
        return leaveFuture;
    }

    private void runLeave() {
        LOG.info("graceful shutdown started; the router leaves the list of entry hosts");
        components.control().leave();
        components.decisions().post(new DecisionEvent.LeaveBegan());
        sleep(settings.caller().entryHostsKeepTime());
        components.setShutdownState(LifecycleState.DRAINING);
        components.stopListening();
        long deadline = System.nanoTime() + settings.caller().drainTimeout().toNanos();
        while (components.openRequests() > 0 && System.nanoTime() < deadline) {
            sleep(DRAIN_POLL_PERIOD);
        }
        int unfinished = components.openRequests();
        if (unfinished > 0) {
            components.endRequests();
            sleep(FINAL_ANSWERS_PERIOD);
        }
        LOG.info("graceful shutdown finished with %s open requests", unfinished);
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    /** Completes when a network thread ends while the router is not being closed; its connections are lost then. */
    public CompletableFuture<Void> networkThreadEnd() {
        return components.networkThreadEnd();
    }

    /** Stops the router immediately; call {@link #leave} first to let open requests finish. */
    @Override
    public void close() {
        components.close();
    }
}
