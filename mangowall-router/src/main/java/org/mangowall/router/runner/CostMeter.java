package org.mangowall.router.runner;

/** Computes the cost of one answer while its body is streamed. */
public interface CostMeter {

    /** Reads the next piece of the body. */
    void accept(byte[] bytes);

    /** Returns the cost known so far, in cost units. */
    double cost();

    /** Whether the content read so far is a complete answer; true for formats that don't show their end. */
    boolean isComplete();
}
