package review3;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the seconds since its start. */
public final class Recorder implements AutoCloseable {

    private final BufferedWriter writer;
    private final long startedAt = System.nanoTime();
    private boolean isClosed;

    public Recorder(Path file) {
        try {
            writer = Files.newBufferedWriter(file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Seconds since the start. */
    public double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Writes a line; what ends after the case has been judged is not recorded. */
    public synchronized void line(String text) {
        if (isClosed) {
            return;
        }
        try {
            writer.write(String.format("%9.3f %s%n", seconds(), text));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Writes a line to the record and to standard output. */
    public void say(String text) {
        line(text);
        System.out.printf("%9.3f %s%n", seconds(), text);
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        try {
            writer.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
