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
 * Writes one JSON line for each event.
 *
 * <p>A separate thread writes the lines from a bounded queue. When the queue is full, lines are dropped and counted, so
 * that the data path never waits for the output.
 */
public final class DecisionLog implements AutoCloseable {

    /** Maximum number of queued lines: several seconds of a busy host. */
    private static final int QUEUE_CAPACITY_LINES = 8_192;

    private static final long WRITE_INTERVAL_NANOS = 200_000_000L;
    private static final int INITIAL_LINE_BYTES = 256;
    /** How long {@link #close()} waits for the queued lines to be written. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final JsonFactory json = new JsonFactory();
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream output;
    private final Clock clock;
    private final String host;
    private final Thread writer;
    private volatile boolean isClosing;

    /** Starts the writer thread. */
    public DecisionLog(OutputStream output, Clock clock, String host) {
        this.output = output;
        this.clock = clock;
        this.host = host;
        this.writer = new Thread(this::writeUntilClosed, "mangowall-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes the event-specific fields of a log line. */
    @FunctionalInterface
    public interface Fields {

        /** Writes the fields into the JSON object that the generator has open. */
        void write(JsonGenerator line) throws IOException;
    }

    /** Queues a line for an event; thread-safe. */
    public void write(String event, Fields fields) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
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
        if (!queue.offer(line.toByteArray())) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void writeUntilClosed() {
        List<byte[]> lines = new ArrayList<>();
        while (!isClosing) {
            LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            writeQueued(lines);
        }
        writeQueued(lines);
    }

    private void writeQueued(List<byte[]> lines) {
        queue.drainTo(lines);
        if (lines.isEmpty()) {
            return;
        }
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        lines.forEach(batch::writeBytes);
        lines.clear();
        try {
            batch.writeTo(output);
            output.flush();
        } catch (IOException | RuntimeException | Error failure) {
            // The failure can't be logged: this output is the log.
            dropped.incrementAndGet();
        }
    }

    @Override
    public void close() {
        isClosing = true;
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
