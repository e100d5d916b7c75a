package org.mangowall.standin.runner;

/** A running stand-in for a runner. */
public interface RunnerStandIn extends AutoCloseable {

    /** Returns the TCP port on which the runner listens. */
    int port();

    @Override
    void close();
}
