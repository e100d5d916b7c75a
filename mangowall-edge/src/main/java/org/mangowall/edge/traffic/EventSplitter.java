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

    /** A larger buffer isn't kept once its event is complete. */
    private static final int MAX_KEPT_BYTES = 1 << 14;

    private ByteBuf pending = Unpooled.buffer();
    private Optional<String> lastEventIdentifier = Optional.empty();
    private long eventCount;

    /** Adds bytes of the stream and returns the complete events; the caller releases both buffers. */
    ByteBuf append(ByteBuf bytes) {
        int firstNewIndex = pending.writerIndex();
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent(firstNewIndex);
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        discardReadBytes();
        recordLastIdentifier(events);
        return events;
    }

    private void discardReadBytes() {
        if (pending.capacity() > MAX_KEPT_BYTES) {
            pending = Unpooled.buffer().writeBytes(pending);
        } else {
            pending.discardSomeReadBytes();
        }
    }

    /** The size of the buffer. */
    int capacity() {
        return pending.capacity();
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

    /** Returns the index after the last event that the new bytes end, or -1 if they end none. */
    private int endOfLastEvent(int firstNewIndex) {
        int first = Math.max(firstNewIndex, pending.readerIndex() + 1);
        for (int index = pending.writerIndex() - 1; index >= first; index--) {
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
