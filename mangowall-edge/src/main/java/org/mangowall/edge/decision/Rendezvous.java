package org.mangowall.edge.decision;

/** Rendezvous hashing: each host ranks the same candidates in the same, evenly mixed order. */
public final class Rendezvous {

    private Rendezvous() {}

    /** The weight of a candidate for a key; the greatest weights win. */
    public static long weight(String key, String candidate) {
        long mixed = key.hashCode() * 0x9E3779B97F4A7C15L + candidate.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
