package org.mangowall.edge.traffic;

import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;

/** Hears of the end of an operation in the event loop, whatever has become of it. */
public final class LoopListener {

    private LoopListener() {}

    /**
     * Returns a listener that runs in the event loop. A connection that fails for want of a socket has no event loop,
     * and its future calls listeners in a thread of the library.
     */
    public static GenericFutureListener<Future<? super Void>> inLoop(
            EventLoop loop, Consumer<Future<? super Void>> listener) {
        return done -> {
            if (loop.inEventLoop()) {
                listener.accept(done);
            } else {
                loop.execute(() -> listener.accept(done));
            }
        };
    }
}
