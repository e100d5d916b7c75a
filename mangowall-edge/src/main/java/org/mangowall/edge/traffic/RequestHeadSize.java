package org.mangowall.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/** Measures the request line and the header lines of a request, each without the ends of the lines. */
final class RequestHeadSize {

    private int requestLineBytes;
    private long headerBytes;

    /** Starts with another request. */
    void reset() {
        requestLineBytes = 0;
        headerBytes = 0;
    }

    /** Adds the complete lines in a part of a buffer; empty ones before the request line don't count. */
    void add(ByteBuf buffer, int start, int end) {
        int lineStart = start;
        for (int lineEnd = buffer.indexOf(lineStart, end, HttpConstants.LF);
                lineEnd >= 0;
                lineEnd = buffer.indexOf(lineStart, end, HttpConstants.LF)) {
            boolean hasReturn = lineEnd > lineStart && buffer.getByte(lineEnd - 1) == HttpConstants.CR;
            addLine(lineEnd - lineStart - (hasReturn ? 1 : 0));
            lineStart = lineEnd + 1;
        }
    }

    private void addLine(int bytes) {
        if (requestLineBytes == 0) {
            requestLineBytes = bytes;
        } else {
            headerBytes += bytes;
        }
    }

    /**
     * Whether the request line, or the header lines together, are larger than a limit.
     *
     * @param incompleteLineBytes the bytes that have arrived of a line that isn't complete
     */
    boolean isAbove(int limit, int incompleteLineBytes) {
        if (requestLineBytes == 0) {
            return incompleteLineBytes > limit;
        }
        return requestLineBytes > limit || headerBytes + incompleteLineBytes > limit;
    }
}
