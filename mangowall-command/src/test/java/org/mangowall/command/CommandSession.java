package org.mangowall.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.mangowall.kernel.time.ManualClock;

/** Runs command lines in sequence and records their output; values that change between runs become placeholders. */
final class CommandSession {

    private final StringBuilder transcript = new StringBuilder();
    private final Map<String, String> placeholders = new LinkedHashMap<>();
    private final Clock clock;
    private final Runnable pause;
    private final Path directory;

    /** Creates a session with a clock that advances by one second at each pause. */
    CommandSession(Path directory) {
        this(directory, new ManualClock(Instant.EPOCH));
    }

    private CommandSession(Path directory, ManualClock manualClock) {
        this(directory, manualClock, () -> manualClock.advance(Duration.ofSeconds(1)));
    }

    CommandSession(Path directory, Clock clock, Runnable pause) {
        this.directory = directory;
        this.clock = clock;
        this.pause = pause;
        placeholder(directory.toString() + "/", "");
    }

    /** Replaces a value that changes between runs by a placeholder, which command lines may use too. */
    CommandSession placeholder(String value, String placeholder) {
        placeholders.put(value, placeholder);
        return this;
    }

    /** Writes a file that command lines can refer to by its name. */
    CommandSession file(String fileName, String content) {
        try {
            Files.writeString(directory.resolve(fileName), content);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return this;
    }

    /** Adds a comment to the transcript. */
    CommandSession comment(String sentence) {
        transcript.append("# ").append(sentence).append('\n');
        return this;
    }

    /** Runs a command line; arguments that name files of the session are replaced by their paths. */
    CommandSession run(String line) {
        transcript.append("$ mangowall ").append(line).append('\n');
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CommandLine commandLine = new CommandLine(stream, stream, clock, pause);
        String[] arguments = expandPlaceholders(line).isEmpty()
                ? new String[0]
                : expandPlaceholders(line).split(" ");
        for (int index = 0; index < arguments.length; index++) {
            if (arguments[index].endsWith(".toml")
                    || arguments[index].endsWith(".token")
                    || arguments[index].endsWith(".log")) {
                arguments[index] = directory.resolve(arguments[index]).toString();
            }
        }
        int code = commandLine.run(arguments).code();
        transcript.append(insertPlaceholders(bytes.toString(StandardCharsets.UTF_8)));
        transcript.append("[exit code ").append(code).append("]\n\n");
        return this;
    }

    String transcript() {
        return transcript.toString();
    }

    /** Returns an address on which no process listens. */
    static String unusedAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private String expandPlaceholders(String line) {
        String expanded = line;
        for (Map.Entry<String, String> entry : placeholders.entrySet()) {
            expanded = entry.getValue().isEmpty() ? expanded : expanded.replace(entry.getValue(), entry.getKey());
        }
        return expanded;
    }

    private String insertPlaceholders(String text) {
        String masked = text;
        for (Map.Entry<String, String> entry : placeholders.entrySet()) {
            masked = masked.replace(entry.getKey(), entry.getValue());
        }
        return masked;
    }
}
