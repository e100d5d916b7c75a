package org.mangowall.claims;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.StoredAnswer;

/** Answers of completed requests in memory, the oldest dropped first when they take too many bytes. */
final class KeptAnswers {

    private static final int OVERHEAD_BYTES = 200;

    private final long maximumBytes;
    private final Map<RequestIdentifier, StoredAnswer> answers = new LinkedHashMap<>();
    private long bytes;

    KeptAnswers(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    void keep(RequestIdentifier request, StoredAnswer answer) {
        if (size(answer) > maximumBytes || answers.containsKey(request)) {
            return;
        }
        answers.put(request, answer);
        bytes += size(answer);
        Iterator<StoredAnswer> oldest = answers.values().iterator();
        while (bytes > maximumBytes) {
            bytes -= size(oldest.next());
            oldest.remove();
        }
    }

    Optional<StoredAnswer> find(RequestIdentifier request) {
        return Optional.ofNullable(answers.get(request));
    }

    private static long size(StoredAnswer answer) {
        long size = OVERHEAD_BYTES + (long) answer.body().length;
        for (HeaderField header : answer.headers()) {
            size += header.name().length() + header.value().length();
        }
        return size;
    }
}
