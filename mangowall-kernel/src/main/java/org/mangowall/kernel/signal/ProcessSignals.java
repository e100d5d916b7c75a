package org.mangowall.kernel.signal;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.function.Supplier;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * The requests to stop and to reload that reach this process as signals.
 *
 * <p>Programs call {@link #receive} in the first statement of {@code main}. Until then a signal has its default effect
 * and ends the process; from then on a signal that comes before its action is set is kept until it is.
 *
 * <p>{@code sun.misc.Signal} is the only way to handle signals. It is used by reflection because the compiler warns
 * about it and the build treats warnings as errors.
 */
public final class ProcessSignals {

    /** Time in which the signal follows a change of the settings file. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofMillis(500);

    private final DeferredAction stop = new DeferredAction();
    private final DeferredAction reload = new DeferredAction();

    /**
     * Receives SIGTERM and SIGINT as requests to stop, and SIGHUP as a request to reload the settings.
     *
     * @throws MangowallException with {@link FailureCode#INTERNAL} if this Java runtime handles no signals
     */
    public static ProcessSignals receive() {
        ProcessSignals signals = new ProcessSignals();
        try {
            // SIGHUP first: ending the process is wrong for it alone.
            handle("HUP", signals::requestReload);
            handle("TERM", signals::requestStop);
            handle("INT", signals::requestStop);
        } catch (ReflectiveOperationException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "signals can't be handled", failure);
        }
        return signals;
    }

    private static void handle(String name, Runnable request) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler = Proxy.newProxyInstance(
                ProcessSignals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                    request.run();
                    return null;
                });
        Object signal = signalType.getConstructor(String.class).newInstance(name);
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    }

    /** Requests a stop, as SIGTERM does. */
    public void requestStop() {
        stop.request();
    }

    /** Requests a reload, as SIGHUP does. */
    public void requestReload() {
        reload.request();
    }

    /**
     * Reads the settings, and again if a reload is requested meanwhile: a file that is replaced may be incomplete.
     * A failure of the reader is final only if no request to reload follows.
     *
     * @throws MangowallException of the reader
     */
    public <T> T readSettings(Supplier<T> reader) {
        return readSettings(reader, CHANGE_TIMEOUT);
    }

    <T> T readSettings(Supplier<T> reader, Duration changeTimeout) {
        while (true) {
            long requests = reload.requests();
            try {
                T settings = reader.get();
                if (reload.requests() == requests) {
                    return settings;
                }
            } catch (MangowallException failure) {
                if (!reload.awaitRequest(requests, changeTimeout)) {
                    throw failure;
                }
            }
        }
    }

    /** Returns whether a request to stop waits for its action. */
    public boolean isStopPending() {
        return stop.isPending();
    }

    /** Sets what a request to stop does; runs it at once if there was one. */
    public void onStop(Runnable action) {
        stop.setAction(action);
    }

    /** Sets what a request to reload does; runs it at once if there was one. */
    public void onReload(Runnable action) {
        reload.setAction(action);
    }
}
