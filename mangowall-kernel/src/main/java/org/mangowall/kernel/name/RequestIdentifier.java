package org.mangowall.kernel.name;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * The fleet-wide identifier of a request. It is unique as long as a router never uses the same incarnation twice.
 *
 * @param entry the router that received the request from the caller
 * @param incarnation the incarnation of that router
 * @param sequence the number of the request in that incarnation, from 1
 */
public record RequestIdentifier(RouterName entry, long incarnation, long sequence)
        implements Comparable<RequestIdentifier> {

    private static final char SEPARATOR = '~';

    /**
     * Parses the text form that {@link #toString()} returns.
     *
     * @throws MangowallException with {@link FailureCode#INVALID_NAME} when the text has another form
     */
    public static RequestIdentifier parse(String text) {
        String[] parts = text.split(String.valueOf(SEPARATOR), -1);
        if (parts.length != 3) {
            throw invalid(text);
        }
        try {
            long incarnation = Long.parseLong(parts[1], Character.MAX_RADIX);
            long sequence = Long.parseLong(parts[2], Character.MAX_RADIX);
            return new RequestIdentifier(new RouterName(parts[0]), incarnation, sequence);
        } catch (NumberFormatException failure) {
            throw invalid(text);
        }
    }

    private static MangowallException invalid(String text) {
        return new MangowallException(FailureCode.INVALID_NAME, "not a request identifier: " + text);
    }

    @Override
    public int compareTo(RequestIdentifier other) {
        int byEntry = entry.compareTo(other.entry);
        if (byEntry != 0) {
            return byEntry;
        }
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return entry.value()
                + SEPARATOR
                + Long.toString(incarnation, Character.MAX_RADIX)
                + SEPARATOR
                + Long.toString(sequence, Character.MAX_RADIX);
    }
}
