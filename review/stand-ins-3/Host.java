package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A host, started as the deploy file says, with settings like those of the template deploy/edge.toml. */
public final class Host implements AutoCloseable {

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    private final String name;
    private final String zone;
    private final Path directory;
    private final int storePort;
    private final int peerPort;
    private final int callerPort = freePort();
    private final int directoryPort = freePort();
    private final int readinessPort = freePort();
    private final int metricsPort = freePort();
    private Process process;
    private boolean isEndExpected;

    public Host(String name, String zone, Path directory, int storePort, int peerPort) throws IOException {
        this.name = name;
        this.zone = zone;
        this.directory = directory;
        this.storePort = storePort;
        this.peerPort = peerPort;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    public static int freePort() throws IOException {
        while (true) {
            int port = 10_000 + (int) (Math.random() * 20_000);
            if (!GIVEN_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
    }

    public void start(List<Integer> seeds) throws IOException {
        String seedList = String.join(", ", seeds.stream().map(port -> "\"127.0.0.1:" + port + "\"").toList());
        Path settings = directory.resolve(name + ".toml");
        Files.writeString(settings, """
                [host]
                name = "%s"
                zone = "%s"
                processor_share = 0.75
                processor_speed = 1
                descriptors = 4100
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
                [memory]
                process_megabytes = 430
                [bounds]
                retries_per_request = 0.2
                retry_slack = 56
                retry_window_seconds = 10
                share_window_seconds = 4
                grace_seconds = 8
                """.formatted(name, zone, callerPort, directoryPort, readinessPort, peerPort, seedList, metricsPort,
                storePort));
        List<String> command = new ArrayList<>(Arrays.asList(runCommand().split(" ")));
        command.addAll(List.of("--settings", settings.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile())
                .start();
    }

    /** The command of the role in the deploy file; this program runs in the repository root, as hosts do. */
    private static String runCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .orElseThrow();
    }

    public String name() {
        return name;
    }

    public int callerPort() {
        return callerPort;
    }

    public Path log() {
        return directory.resolve(name + ".log");
    }

    /** Asks for readiness as the platform does; returns whether the answer is 200 within a second. */
    public boolean isReady() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readinessPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(HttpRequestText.bytes(
                    "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
            HttpRequestText answer = HttpRequestText.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Waits until the host is ready; returns whether it became so. */
    public boolean awaitReady(int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Whether the process has ended without being asked to. */
    public boolean hasEndedByItself() {
        return !isEndExpected && !process.isAlive();
    }

    public Process process() {
        return process;
    }

    @Override
    public void close() {
        isEndExpected = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
