package org.mangowall.edge.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import org.mangowall.edge.overload.BodyRoom;

/** The body of a caller's request, in direct memory, in parts that aren't copied while it grows. */
final class RequestBody {

    private static final int PART_BYTES = 1 << 16;
    private static final int FIRST_PART_BYTES = 1 << 8;

    private final EdgeContext context;
    private final ByteBufAllocator allocator;
    private final long announcedBytes;
    private final BodyRoom.Claim claim;
    private final List<ByteBuf> parts = new ArrayList<>(1);
    private long length;
    private ByteBuf whole = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a body without any room.
     *
     * @param announcedBytes its length; negative if it isn't known
     * @param admission is called when the body had to wait for room and has got it
     */
    RequestBody(EdgeContext context, ByteBufAllocator allocator, long announcedBytes, Runnable admission) {
        this.context = context;
        this.allocator = allocator;
        this.announcedBytes = announcedBytes;
        this.claim = new BodyRoom.Claim(admission);
    }

    /** Asks for room for so many bytes in all. */
    BodyRoom.Decision reserve(long bytes, double bearableMillis) {
        return context.bodyRoom().request(claim, bytes, bearableMillis, context.now());
    }

    /** Whether the body waits for room. */
    boolean isWaiting() {
        return claim.isWaiting();
    }

    /** The room that the body has. */
    long reservedBytes() {
        return claim.takenBytes();
    }

    /** The bytes that have arrived. */
    long length() {
        return length;
    }

    /** Adds bytes that have arrived. */
    void append(ByteBuf content) {
        while (content.isReadable()) {
            ByteBuf part = parts.isEmpty() || parts.getLast().maxWritableBytes() == 0 ? addPart() : parts.getLast();
            int bytes = Math.min(content.readableBytes(), part.maxWritableBytes());
            part.writeBytes(content, bytes);
            length += bytes;
        }
    }

    private ByteBuf addPart() {
        ByteBuf part;
        if (announcedBytes >= 0) {
            int bytes = (int) Math.min(PART_BYTES, announcedBytes - length);
            part = allocator.directBuffer(bytes, bytes);
        } else {
            part = allocator.directBuffer(parts.isEmpty() ? FIRST_PART_BYTES : PART_BYTES, PART_BYTES);
        }
        parts.add(part);
        return part;
    }

    /** The last byte has arrived; room that isn't needed is returned. */
    void complete() {
        whole = Unpooled.wrappedBuffer(Math.max(1, parts.size()), parts.toArray(ByteBuf[]::new));
        parts.clear();
        context.bodyRoom().complete(claim, length, context.now());
    }

    /** The bytes of a complete body that wasn't let go. */
    ByteBuf bytes() {
        return whole;
    }

    /** Lets a large body go if no repeat can need it: the last run that there may be has begun to respond. */
    void responseBegan(Exchange exchange, RunnerAttempt run) {
        if (whole.readableBytes() <= BodyRoom.SMALL_BYTES) {
            return;
        }
        boolean mayRunAgain = exchange.route().kind().isRepeatable()
                && exchange.runs() < exchange.route().maxRunners();
        boolean mayMove = run.decision().isReadApart();
        boolean isWritten =
                run.responseProgress().map(ResponseProgress::isRequestWritten).orElse(false);
        if (mayRunAgain || mayMove || !isWritten) {
            return;
        }
        // A run that is lost later casts suspicion on the request by its fingerprint.
        exchange.fingerprint();
        release();
    }

    /** Lets the body go, with its room or its place among those that wait. */
    void release() {
        parts.forEach(ByteBuf::release);
        parts.clear();
        whole.release();
        whole = Unpooled.EMPTY_BUFFER;
        context.bodyRoom().release(claim, context.now());
    }
}
