package org.mangowall.membership;

/** How often one must double to reach a count: the number of rounds in which news reaches that many routers. */
final class Doublings {

    private Doublings() {}

    static int of(int count) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(count);
    }
}
