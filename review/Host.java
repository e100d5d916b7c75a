import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A host of the system, started as a process with the command of the deploy file. */
final class Host implements AutoCloseable {

    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    /** Depends on the process, so that concurrent runs start at different ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 1_009 % PORT_COUNT));

    final String name;
    final int callerPort;
    final int directoryPort;
    final int readyPort;
    final int peerPort;
    final Path log;
    private final Path settings;
    Process process;

    Host(String name, Path folder, int storePort, List<Integer> seeds, int peerPort) throws IOException {
        this.name = name;
        this.callerPort = freePort();
        this.directoryPort = freePort();
        this.readyPort = freePort();
        this.peerPort = peerPort;
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".toml");
        String seedText = String.join(",", seeds.stream().map(port -> "\"127.0.0.1:" + port + "\"").toList());
        Files.writeString(settings, """
                [host]
                name = "%s"
                zone = "a"
                processor_share = 0.75
                processor_speed = 1
                [caller]
                address = "127.0.0.1:%d"
                refuse_when_behind = true
                [directory]
                address = "127.0.0.1:%d"
                [readiness]
                address = "127.0.0.1:%d"
                [peer]
                address = "127.0.0.1:%d"
                seeds = [%s]
                [metrics]
                address = "127.0.0.1:%d"
                [platform]
                adapter = "shared-platform"
                store = "127.0.0.1:%d"
                [bounds]
                retries_per_request = 0.2
                retry_slack = 56
                retry_window_seconds = 10
                share_window_seconds = 4
                grace_seconds = 8
                """.formatted(
                name, callerPort, directoryPort, readyPort, peerPort, seedText, freePort(), storePort));
    }

    /** Returns a port that is free now and below the range from which the system takes those of outgoing connections. */
    static int freePort() throws IOException {
        for (int tried = 0; tried < PORT_COUNT; tried++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // The next port may be free.
                continue;
            }
        }
        throw new BindException("no port is free");
    }

    /** The command of the deploy file, with the settings file behind it. */
    private List<String> command() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        int start = deploy.indexOf("run = \"", deploy.indexOf("[roles.edge]")) + 7;
        List<String> words = new ArrayList<>(List.of(deploy.substring(start, deploy.indexOf('"', start)).split(" ")));
        words.add("--settings");
        words.add(settings.toString());
        return words;
    }

    void start() throws IOException {
        start(command());
    }

    /** Starts the process with a limit on its descriptors, as the platform does. */
    void start(int maxDescriptors) throws IOException {
        List<String> words = new ArrayList<>(List.of("bash", "-c", "ulimit -n " + maxDescriptors + " && exec \"$@\"", "host"));
        words.addAll(command());
        start(words);
    }

    private void start(List<String> words) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /** The platform writes the settings file anew, with a field that a later version may read. */
    void changeSettings(int number) throws IOException {
        String text = Files.readString(settings).replaceAll("# change \\d+\n", "");
        Files.writeString(settings, "# change " + number + "\n" + text);
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** The status of the readiness check; 0 if there is no answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            byte[] start = socket.getInputStream().readNBytes(12);
            return start.length == 12 ? Integer.parseInt(new String(start, 9, 3)) : 0;
        } catch (IOException failure) {
            return 0;
        }
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            if (readiness() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** The last lines of the output, for a host that doesn't become ready. */
    List<String> lastOutput() {
        try {
            List<String> lines = Files.readAllLines(log);
            return lines.subList(Math.max(0, lines.size() - 5), lines.size());
        } catch (IOException failure) {
            return List.of();
        }
    }

    /** The first lines of the output that are no lines of the structured log, such as stack traces. */
    List<String> otherOutput() {
        try (var lines = Files.lines(log)) {
            return lines.filter(line -> !line.startsWith("{") && !line.isBlank()).limit(12).toList();
        } catch (IOException failure) {
            return List.of();
        }
    }

    @Override
    public void close() {
        if (process == null) {
            return;
        }
        try {
            process.destroyForcibly().waitFor(3, TimeUnit.SECONDS);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
