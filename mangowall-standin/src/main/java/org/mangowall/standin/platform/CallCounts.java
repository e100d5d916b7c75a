package org.mangowall.standin.platform;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts requests by kind; not thread-safe. */
final class CallCounts {

    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

    void add(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    Map<String, Long> toMap() {
        Map<String, Long> byName = new TreeMap<>();
        for (Kind kind : Kind.values()) {
            byName.put(kind.name().toLowerCase(Locale.ROOT), counts.getOrDefault(kind, 0L));
        }
        return byName;
    }

    /** The kind of a counted request or failure. */
    enum Kind {
        READ,
        WATCH,
        WRITE,
        HOST_LIST,
        ANNOUNCEMENT,
        REFUSED_BY_RATE,
        REFUSED_BY_OUTAGE,
        CONFLICT,
        LOST_ANSWER
    }
}
