package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** Splits a server-sent event stream into complete events, so that a stream that breaks off ends between events. */
final class EventSplitter {

    /** Longer data without an event boundary is passed on unsplit: no runner sends events of this size. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String IDENTIFIER_FIELD = "id:";

    private ByteBuf pending = Unpooled.buffer();
    private Optional<String> lastEventIdentifier = Optional.empty();

    /** Adds bytes of the stream and returns the complete events; the caller releases both buffers. */
    ByteBuf append(ByteBuf bytes) {
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent();
        if (end < 0) {
            if (pending.readableBytes() > MAX_EVENT_BYTES) {
                return drain();
            }
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

    /** Removes and returns the buffered bytes. */
    ByteBuf drain() {
        ByteBuf remaining = pending;
        pending = Unpooled.buffer();
        return remaining;
    }

    /** The identifier of the last complete event that has one. */
    Optional<String> lastEventIdentifier() {
        return lastEventIdentifier;
    }

    private int endOfLastEvent() {
        for (int index = pending.writerIndex() - 1; index > pending.readerIndex(); index--) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            boolean isBlank = pending.getByte(index - 1) == '\n'
                    || index - 2 >= pending.readerIndex()
                            && pending.getByte(index - 1) == '\r'
                            && pending.getByte(index - 2) == '\n';
            if (isBlank) {
                return index + 1;
            }
        }
        return -1;
    }

    private void recordLastIdentifier(ByteBuf events) {
        String text = new String(ByteBufUtil.getBytes(events), StandardCharsets.UTF_8);
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
