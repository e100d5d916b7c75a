package org.mangowall.edge.decision;

import java.util.Collection;

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

    /**
     * Returns whether a candidate is among those with the highest weights for a key.
     *
     * @param candidates all candidates, which may include the one asked for
     * @param count how many are chosen
     */
    static boolean isAmongHighest(String key, String candidate, Collection<String> candidates, int count) {
        if (candidates.size() <= count) {
            return true;
        }
        long ownWeight = weight(key, candidate);
        int higherRanked = 0;
        for (String other : candidates) {
            if (!other.equals(candidate) && weight(key, other) > ownWeight) {
                higherRanked += 1;
            }
        }
        return higherRanked < count;
    }
}
