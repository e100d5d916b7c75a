package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.SequencedMap;

/** The origins of streams that began lately on any host. */
final class StreamOrigins {

    /** No caller takes up a stream that began longer ago. */
    static final long RETENTION_NANOS = 30_000_000_000L;

    /** Longer than the interval of full reports, which repeat what a lost report told. */
    private static final long REPORT_AGE_NANOS = 2_500_000_000L;

    /** Bounds the memory; beyond it, the oldest streams are forgotten first. */
    private static final int MAX_STREAMS = 1 << 16;

    /** Callers choose the identifiers, so longer ones are not kept. */
    private static final int MAX_IDENTIFIER_LENGTH = 64;

    private final SequencedMap<String, Recorded> streams = new LinkedHashMap<>();

    private record Recorded(StreamOrigin origin, String host, long at) {}

    /**
     * Records the origin of a stream.
     *
     * @param host the host that forwards the stream
     */
    void record(StreamOrigin origin, String host, long now) {
        if (origin.request().length() > MAX_IDENTIFIER_LENGTH) {
            return;
        }
        streams.remove(origin.request());
        streams.put(origin.request(), new Recorded(origin, host, now));
        dropOldest(now);
    }

    private void dropOldest(long now) {
        Iterator<Recorded> oldest = streams.values().iterator();
        while (oldest.hasNext() && (isExpired(oldest.next(), now) || streams.size() > MAX_STREAMS)) {
            oldest.remove();
        }
    }

    private static boolean isExpired(Recorded recorded, long now) {
        return now - recorded.at() > RETENTION_NANOS;
    }

    Optional<StreamOrigin> find(String request, long now) {
        return Optional.ofNullable(streams.get(request))
                .filter(recorded -> !isExpired(recorded, now))
                .map(Recorded::origin);
    }

    /** Returns all origins, the oldest first. */
    List<StreamOrigin> recent(long now) {
        List<StreamOrigin> recent = new ArrayList<>();
        for (Recorded recorded : streams.values()) {
            if (!isExpired(recorded, now)) {
                recent.add(recorded.origin());
            }
        }
        return recent;
    }

    /** Returns the origins of streams that began on a host within the report age. */
    List<StreamOrigin> justBegun(String host, long now) {
        return streams.sequencedValues().reversed().stream()
                .takeWhile(recorded -> now - recorded.at() <= REPORT_AGE_NANOS)
                .filter(recorded -> recorded.host().equals(host))
                .map(Recorded::origin)
                .toList();
    }
}
