package org.mangowall.edge.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes one JSON line for each decision.
 *
 * <p>Lines go through a bounded ring to a thread of their own. When the ring is full, lines are dropped and counted:
 * the data path never waits for the output.
 */
public final class DecisionLog implements AutoCloseable {

    /** Lines that wait for the output at most: seconds of a busy host. */
    private static final int RING_LINES = 8_192;

    private static final long WRITE_PAUSE_NANOS = 200_000_000L;
    private static final int LINE_BYTES = 256;
    /** How long the end of the process waits for the last lines. */
    private static final long CLOSE_MILLIS = 500;

    private final JsonFactory json = new JsonFactory();
    private final BlockingQueue<byte[]> ring = new ArrayBlockingQueue<>(RING_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream output;
    private final Clock clock;
    private final String host;
    private final Thread writer;
    private volatile boolean isClosing;

    /** Starts the writing thread. */
    public DecisionLog(OutputStream output, Clock clock, String host) {
        this.output = output;
        this.clock = clock;
        this.host = host;
        this.writer = new Thread(this::writeUntilClosed, "mangowall-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds the fields of a line. */
    @FunctionalInterface
    public interface Fields {

        /** Writes the fields into the open object. */
        void write(JsonGenerator line) throws IOException;
    }

    /** Logs an event; safe for use by several threads. */
    public void write(String event, Fields fields) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(LINE_BYTES);
        try (JsonGenerator generator = json.createGenerator(line)) {
            generator.writeStartObject();
            generator.writeNumberField("at", clock.millis());
            generator.writeStringField("host", host);
            generator.writeStringField("event", event);
            fields.write(generator);
            generator.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        line.write('\n');
        if (!ring.offer(line.toByteArray())) {
            dropped.incrementAndGet();
        }
    }

    /** Lines that were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void writeUntilClosed() {
        List<byte[]> lines = new ArrayList<>();
        while (!isClosing) {
            LockSupport.parkNanos(WRITE_PAUSE_NANOS);
            writeWaiting(lines);
        }
        writeWaiting(lines);
    }

    private void writeWaiting(List<byte[]> lines) {
        ring.drainTo(lines);
        if (lines.isEmpty()) {
            return;
        }
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        lines.forEach(block::writeBytes);
        lines.clear();
        try {
            block.writeTo(output);
            output.flush();
        } catch (IOException failure) {
            // The output is the only place to report to, and it is the one that failed.
            dropped.incrementAndGet();
        }
    }

    @Override
    public void close() {
        isClosing = true;
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
