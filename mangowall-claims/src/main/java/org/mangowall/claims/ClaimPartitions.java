package org.mangowall.claims;

import com.dynatrace.hash4j.hashing.Hashing;
import org.mangowall.platform.ObjectName;

/** Maps idempotency keys to a fixed number of partitions, each stored in one object of the platform. */
public final class ClaimPartitions {

    /** The number of partitions; it must never change, because stored objects are found by partition number. */
    public static final int COUNT = 64;

    private ClaimPartitions() {}

    /** The partition number of a key. */
    public static int of(String keyDigest) {
        return (int) Long.remainderUnsigned(Hashing.komihash5_0().hashCharsToLong(keyDigest), COUNT);
    }

    /** The name of the platform's object that stores a partition. */
    public static ObjectName object(int partition) {
        return new ObjectName("claims", name(partition));
    }

    /** The name of a partition; it is the key by which the router that holds the partition is chosen. */
    public static String name(int partition) {
        return String.format("partition-%02d", partition);
    }
}
