package org.mangowall.claims;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.StoredResponse;

/** In-memory cache of the answers of completed requests; evicts the oldest first when it exceeds its size in bytes. */
final class AnswerCache {

    private static final int OVERHEAD_BYTES_PER_ANSWER = 200;

    private final long maximumBytes;
    private final Map<RequestIdentifier, StoredResponse> answers = new LinkedHashMap<>();
    private long cachedBytes;

    AnswerCache(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    void store(RequestIdentifier request, StoredResponse answer) {
        if (size(answer) > maximumBytes || answers.containsKey(request)) {
            return;
        }
        answers.put(request, answer);
        cachedBytes += size(answer);
        Iterator<StoredResponse> oldest = answers.values().iterator();
        while (cachedBytes > maximumBytes) {
            cachedBytes -= size(oldest.next());
            oldest.remove();
        }
    }

    Optional<StoredResponse> find(RequestIdentifier request) {
        return Optional.ofNullable(answers.get(request));
    }

    private static long size(StoredResponse answer) {
        long size = OVERHEAD_BYTES_PER_ANSWER + (long) answer.body().length;
        for (HeaderField header : answer.headers()) {
            size += header.name().length() + header.value().length();
        }
        return size;
    }
}
