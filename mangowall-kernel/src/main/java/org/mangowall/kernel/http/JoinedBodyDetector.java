package org.mangowall.kernel.http;

import java.util.Set;

/**
 * Finds a response inside the body of another one: a status line, followed by a head with a field whose value is the
 * identifier of a request that the connection has carried. A body may well quote a status line, but not with that.
 */
public final class JoinedBodyDetector {

    private static final int MAX_HEAD_BYTES = 8_192;

    private final Set<String> identifiers;
    private final StatusLineMatcher statusLines = new StatusLineMatcher();
    private final StringBuilder line = new StringBuilder();
    private boolean isInHead;
    private boolean isInStatusLine;
    private int headBytes;

    /**
     * Creates a detector for one response.
     *
     * @param identifiers the identifiers of the requests that the connection has carried
     */
    public JoinedBodyDetector(Set<String> identifiers) {
        this.identifiers = identifiers;
    }

    /** Whether what was read so far ends inside of what may be another response's head. */
    public boolean isInsideHead() {
        return isInHead || statusLines.matchedBytes() > 0;
    }

    /** Whether more than a single letter makes it look like the inside of another response's head. */
    public boolean isLikelyInsideHead() {
        return isInHead || statusLines.matchedBytes() > 1;
    }

    /** Reads the next byte of the body; returns whether it shows that another response has begun. */
    public boolean isFoundAt(byte next) {
        if (statusLines.isMatchedAt(next)) {
            isInHead = true;
            isInStatusLine = next != '\n';
            headBytes = 0;
            line.setLength(0);
            return false;
        }
        return isInHead && isIdentifiedAt(next);
    }

    private boolean isIdentifiedAt(byte next) {
        headBytes += 1;
        if (headBytes > MAX_HEAD_BYTES) {
            isInHead = false;
            return false;
        }
        if (next != '\n') {
            line.append((char) (next & 0xff));
            return false;
        }
        String complete = line.toString().strip();
        line.setLength(0);
        if (isInStatusLine) {
            isInStatusLine = false;
            return false;
        }
        isInHead = !complete.isEmpty();
        return identifiers.contains(
                complete.substring(complete.indexOf(':') + 1).strip());
    }
}
