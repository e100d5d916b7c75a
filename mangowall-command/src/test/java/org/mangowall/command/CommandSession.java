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

/** Runs commands one after the other and keeps what an operator would see; changing parts get fixed names. */
final class CommandSession {

    private final StringBuilder transcript = new StringBuilder();
    private final Map<String, String> fixedNames = new LinkedHashMap<>();
    private final Clock clock;
    private final Runnable pause;
    private final Path folder;

    /** A session whose clock moves on by a second with each wait. */
    CommandSession(Path folder) {
        this(folder, new ManualClock(Instant.EPOCH));
    }

    private CommandSession(Path folder, ManualClock pausedClock) {
        this(folder, pausedClock, () -> pausedClock.advance(Duration.ofSeconds(1)));
    }

    CommandSession(Path folder, Clock clock, Runnable pause) {
        this.folder = folder;
        this.clock = clock;
        this.pause = pause;
        name(folder.toString() + "/", "");
    }

    /** Shows a changing text under a fixed name; commands may use the fixed name too. */
    CommandSession name(String text, String fixedName) {
        fixedNames.put(text, fixedName);
        return this;
    }

    /** Writes a file that commands may name. */
    CommandSession file(String name, String content) {
        try {
            Files.writeString(folder.resolve(name), content);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return this;
    }

    /** Says something in the transcript. */
    CommandSession note(String sentence) {
        transcript.append("# ").append(sentence).append('\n');
        return this;
    }

    /** Runs a command; words that name files in the folder are replaced by their paths. */
    CommandSession run(String line) {
        transcript.append("$ mangowall ").append(line).append('\n');
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CommandLine commandLine = new CommandLine(stream, stream, clock, pause);
        String[] words = real(line).isEmpty() ? new String[0] : real(line).split(" ");
        for (int index = 0; index < words.length; index++) {
            if (words[index].endsWith(".toml") || words[index].endsWith(".token") || words[index].endsWith(".log")) {
                words[index] = folder.resolve(words[index]).toString();
            }
        }
        int code = commandLine.run(words).code();
        transcript.append(fixed(bytes.toString(StandardCharsets.UTF_8)));
        transcript.append("[exit code ").append(code).append("]\n\n");
        return this;
    }

    String transcript() {
        return transcript.toString();
    }

    /** An address on which nothing listens. */
    static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private String real(String line) {
        String real = line;
        for (Map.Entry<String, String> entry : fixedNames.entrySet()) {
            real = entry.getValue().isEmpty() ? real : real.replace(entry.getValue(), entry.getKey());
        }
        return real;
    }

    private String fixed(String text) {
        String fixed = text;
        for (Map.Entry<String, String> entry : fixedNames.entrySet()) {
            fixed = fixed.replace(entry.getKey(), entry.getValue());
        }
        return fixed;
    }
}
