package org.mangowall.edge.decision;

/** Rendezvous hashing: each host ranks the candidates for a key in the same pseudo-random order. */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns the weight of a candidate for a key; candidates with the highest weights are chosen. */
    public static long weight(String key, String candidate) {
        long mixed = key.hashCode() * 0x9E3779B97F4A7C15L + candidate.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
