package org.mangowall.standin.http;

/** Answers calls; always called on the event loop of its server. */
@FunctionalInterface
public interface CallHandler {

    /** Answers a call, now or later on the same event loop. */
    void handle(HttpCall call);
}
