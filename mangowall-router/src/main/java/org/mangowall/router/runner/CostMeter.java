package org.mangowall.router.runner;

/** Reads the cost of one answer while it passes. */
public interface CostMeter {

    /** Takes the next piece of the body. */
    void accept(byte[] bytes);

    /** The cost known so far, in cost units. */
    double cost();

    /** Whether an answer that ends here is whole, as far as its content says. */
    boolean isWhole();
}
