package org.mangowall.router;

import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a router that a signal ends without a graceful shutdown because it comes while the process starts. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StartSignalsTest {

    private static final String SETTINGS = """
            [router]
            name = "router-1"
            zone = "zone-a"
            [caller]
            address = "127.0.0.1:0"
            entry_hosts_keep_time = "10ms"
            drain_timeout = "100ms"
            [peer]
            address = "127.0.0.2:0"
            [operator]
            address = "127.0.0.3:0"
            [platform]
            endpoint = "http://127.0.0.1:1"
            """;

    @TempDir
    private Path directory;

    private Path settings;
    private Process process;
    private BufferedReader output;

    @BeforeEach
    void writeSettings() throws IOException {
        settings = directory.resolve("settings.toml");
        Files.writeString(settings, SETTINGS);
    }

    @AfterEach
    void endRouter() {
        process.destroyForcibly();
    }

    private void startRouter() throws IOException {
        // A process inherits which signals are ignored, as jobs in the background ignore SIGINT.
        process = new ProcessBuilder(
                        "env",
                        "--default-signal=HUP,INT,TERM",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        "org.mangowall.router.RouterMain",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
        output = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Starts a router whose settings are a named pipe, and sends it signals while it reads them. */
    private void startRouterWithSignals(String... names) throws IOException, InterruptedException {
        Files.delete(settings);
        assertEquals(
                0, new ProcessBuilder("mkfifo", settings.toString()).start().waitFor());
        startRouter();
        // Lets the opening below return if the process ends before it reads the pipe.
        process.onExit()
                .thenRunAsync(
                        () -> readToEnd(settings),
                        task -> Thread.ofPlatform().daemon().start(task));
        try (OutputStream pipe = new FileOutputStream(settings.toFile())) {
            for (String name : names) {
                signal(name);
            }
            Files.delete(settings);
            Files.writeString(settings, SETTINGS);
            pipe.write(SETTINGS.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void readToEnd(Path pipe) {
        try (FileInputStream input = new FileInputStream(pipe.toFile())) {
            input.readAllBytes();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Reads the output up to a line with a text, or to its end. */
    private List<String> readUntil(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        String line = output.readLine();
        while (line != null) {
            lines.add(line);
            if (line.contains(text)) {
                return lines;
            }
            line = output.readLine();
        }
        return lines;
    }

    @Test
    void aHangupDuringTheStartIsAnsweredOnceTheRouterIsUp() throws IOException, InterruptedException {
        startRouterWithSignals("HUP", "HUP", "HUP");
        List<String> lines = readUntil("the changed settings");
        assertTrue(lines.toString().contains("serves callers"), lines::toString);
        assertTrue(lines.getLast().contains("the changed settings are good"), lines::toString);
        signal("TERM");
        assertEquals(0, process.waitFor());
    }

    @ParameterizedTest
    @ValueSource(strings = {"TERM", "INT"})
    void aRouterThatIsAskedToEndWhileItStartsEndsInOrder(String signal) throws IOException, InterruptedException {
        startRouterWithSignals(signal);
        String lines = readUntil("graceful shutdown finished").toString();
        assertEquals(0, process.waitFor());
        // The runtime delivers a signal at a moment of its choice, so the start may have gone on.
        assertTrue(lines.contains("the start is cancelled") || lines.contains("graceful shutdown finished"), lines);
    }

    @Test
    void aSeriesOfSignalsDuringTheStartEndsTheRouterInOrder() throws IOException, InterruptedException {
        startRouterWithSignals("HUP", "TERM", "HUP", "INT", "TERM", "HUP");
        readUntil("graceful shutdown finished");
        assertEquals(0, process.waitFor());
    }

    @Test
    void aHangupDoesNotEndARunningRouter() throws IOException, InterruptedException {
        Files.writeString(settings, SETTINGS);
        startRouter();
        readUntil("serves callers");
        Files.writeString(settings, "[router]\n");
        signal("HUP");
        readUntil("the changed settings can't be used");
        assertTrue(process.isAlive());
        signal("TERM");
        readUntil("graceful shutdown finished");
        assertEquals(0, process.waitFor());
    }
}
