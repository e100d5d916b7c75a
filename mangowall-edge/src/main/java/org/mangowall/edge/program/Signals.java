package org.mangowall.edge.program;

import java.lang.reflect.Proxy;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * Handles signals of the operating system.
 *
 * <p>By reflection: the runtime offers no other way to take a hang-up than a class whose use the compiler warns of, and
 * the build takes no warnings.
 */
final class Signals {

    private Signals() {}

    /** Runs an action at each signal with the name, instead of what the runtime does. */
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
