package org.mangowall.standin.runner;

/** A running stand-in of a runner. */
public interface RunnerStandIn extends AutoCloseable {

    /** The port on which it listens. */
    int port();

    @Override
    void close();
}
