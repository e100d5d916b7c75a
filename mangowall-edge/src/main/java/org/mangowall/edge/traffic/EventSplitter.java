package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** Cuts a stream at the ends of its events, so that a runner which breaks off leaves no part of one. */
final class EventSplitter {

    /** An event larger than this is not one of a runner. */
    private static final int MOST_EVENT_BYTES = 1 << 20;

    private static final String IDENTIFIER_FIELD = "id:";

    private ByteBuf rest = Unpooled.buffer();
    private Optional<String> lastEvent = Optional.empty();

    /** Takes bytes of the stream and returns those that complete events; the caller releases both. */
    ByteBuf take(ByteBuf bytes) {
        rest.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastEvent();
        if (end < 0) {
            if (rest.readableBytes() > MOST_EVENT_BYTES) {
                return drain();
            }
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = rest.readBytes(end - rest.readerIndex());
        rest.discardSomeReadBytes();
        noteLastIdentifier(whole);
        return whole;
    }

    /** Whether bytes of an unfinished event are held. */
    boolean hasRest() {
        return rest.isReadable();
    }

    /** Returns the bytes that are held. */
    ByteBuf drain() {
        ByteBuf drained = rest;
        rest = Unpooled.buffer();
        return drained;
    }

    /** The identifier of the last whole event. */
    Optional<String> lastEvent() {
        return lastEvent;
    }

    private int endOfLastEvent() {
        for (int index = rest.writerIndex() - 1; index > rest.readerIndex(); index--) {
            if (rest.getByte(index) != '\n') {
                continue;
            }
            boolean isBlank = rest.getByte(index - 1) == '\n'
                    || index - 2 >= rest.readerIndex()
                            && rest.getByte(index - 1) == '\r'
                            && rest.getByte(index - 2) == '\n';
            if (isBlank) {
                return index + 1;
            }
        }
        return -1;
    }

    private void noteLastIdentifier(ByteBuf events) {
        String text = new String(ByteBufUtil.getBytes(events), StandardCharsets.UTF_8);
        int field = text.startsWith(IDENTIFIER_FIELD) ? 0 : -1;
        int later = text.lastIndexOf("\n" + IDENTIFIER_FIELD);
        int start = later >= 0 ? later + 1 : field;
        if (start < 0) {
            return;
        }
        int end = text.indexOf('\n', start);
        lastEvent = Optional.of(text.substring(start + IDENTIFIER_FIELD.length(), end < 0 ? text.length() : end)
                .strip());
    }
}
