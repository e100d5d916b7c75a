package org.mangowall.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.mangowall.kernel.name.RouterName;

/** Rendezvous (highest random weight) hashing over routers: all routers with the same view choose the same ones. */
public final class Rendezvous {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Rendezvous() {}

    /** Returns up to {@code count} routers with the highest weights for a key, highest first. */
    public static List<RouterName> choose(String key, Collection<RouterName> routers, int count) {
        return routers.stream()
                .sorted(Comparator.comparingLong((RouterName router) -> weight(key, router))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    private static long weight(String key, RouterName router) {
        return HASHER.hashCharsToLong(key + '/' + router.value());
    }
}
