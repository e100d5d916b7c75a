package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;

/** Splits a server-sent event stream into complete events, so that a stream that breaks off ends between events. */
final class EventSplitter {

    /** No runner sends events of this size, but one in trouble may send bytes without end. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String IDENTIFIER_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private Optional<String> lastEventIdentifier = Optional.empty();
    private long eventCount;

    /** Adds bytes of the stream and returns the complete events; the caller releases both buffers. */
    ByteBuf append(ByteBuf bytes) {
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent();
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardSomeReadBytes();
        recordLastIdentifier(events);
        return events;
    }

    /** The number of buffered bytes, which belong to an incomplete event. */
    int pendingBytes() {
        return pending.readableBytes();
    }

    /** Whether an event is longer than any that a runner sends. */
    boolean isEventTooLong() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Whether bytes other than line ends have followed the last event boundary. */
    boolean isInsideEvent() {
        return pending.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
    }

    /** The identifier of the last complete event that has one. */
    Optional<String> lastEventIdentifier() {
        return lastEventIdentifier;
    }

    /** The number of complete events that have an identifier. */
    long eventCount() {
        return eventCount;
    }

    private int endOfLastEvent() {
        for (int index = pending.writerIndex() - 1; index > pending.readerIndex(); index--) {
            if (isBlankLineAt(index)) {
                return index + 1;
            }
        }
        return -1;
    }

    /** Whether the line that ends at an index is blank; lines end with LF, CR LF or CR. */
    private boolean isBlankLineAt(int index) {
        byte last = pending.getByte(index);
        byte previous = pending.getByte(index - 1);
        if (last == '\r') {
            return previous == '\r';
        }
        if (last != '\n') {
            return false;
        }
        return previous == '\n'
                || previous == '\r' && index - 2 >= pending.readerIndex() && pending.getByte(index - 2) == '\n';
    }

    private void recordLastIdentifier(ByteBuf events) {
        String text = new String(ByteBufUtil.getBytes(events), StandardCharsets.UTF_8);
        if (text.indexOf('\r') >= 0) {
            text = text.replace("\r\n", "\n").replace('\r', '\n');
        }
        eventCount +=
                text.lines().filter(line -> line.startsWith(IDENTIFIER_FIELD)).count();
        int field = text.startsWith(IDENTIFIER_FIELD) ? 0 : -1;
        int later = text.lastIndexOf("\n" + IDENTIFIER_FIELD);
        int start = later >= 0 ? later + 1 : field;
        if (start < 0) {
            return;
        }
        int end = text.indexOf('\n', start);
        lastEventIdentifier =
                Optional.of(text.substring(start + IDENTIFIER_FIELD.length(), end < 0 ? text.length() : end)
                        .strip());
    }
}
