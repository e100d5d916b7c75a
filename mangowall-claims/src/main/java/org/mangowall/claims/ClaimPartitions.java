package org.mangowall.claims;

import com.dynatrace.hash4j.hashing.Hashing;
import org.mangowall.platform.ObjectName;

/** The fixed division of all keys into partitions, each with one object in the platform. */
public final class ClaimPartitions {

    /** The number of partitions; it never changes, for the objects are named after it. */
    public static final int COUNT = 64;

    private ClaimPartitions() {}

    /** The partition of a key. */
    public static int of(String keyDigest) {
        return (int) Long.remainderUnsigned(Hashing.komihash5_0().hashCharsToLong(keyDigest), COUNT);
    }

    /** The object of a partition. */
    public static ObjectName object(int partition) {
        return new ObjectName("claims", name(partition));
    }

    /** The name of a partition, by which its holder is chosen. */
    public static String name(int partition) {
        return String.format("partition-%02d", partition);
    }
}
