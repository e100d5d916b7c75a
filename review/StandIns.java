package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Small stand-ins of the platform's store, of runners and of callers, and hosts as separate processes. */
final class StandIns {

    static final ObjectMapper JSON = new ObjectMapper();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private StandIns() {}

    /** What happened, with the time since the start of the script. */
    static final class Record implements AutoCloseable {
        private final PrintWriter writer;
        private final long startedAt = System.nanoTime();

        Record(Path file) throws IOException {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        }

        double seconds() {
            return (System.nanoTime() - startedAt) / 1e9;
        }

        synchronized void write(String format, Object... values) {
            writer.printf(Locale.ROOT, "%8.3f  " + format + "%n", prepend(seconds(), values));
            writer.flush();
        }

        private static Object[] prepend(Object first, Object... rest) {
            Object[] all = new Object[rest.length + 1];
            all[0] = first;
            System.arraycopy(rest, 0, all, 1, rest.length);
            return all;
        }

        @Override
        public synchronized void close() {
            writer.close();
        }
    }

    /** The platform's store: objects with revisions, lists in pages, watches. */
    static final class Store implements AutoCloseable {
        private static final int PAGE = 50;
        private final HttpServer server;
        private final List<HttpServer> others = new ArrayList<>();
        private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();
        private final List<Change> history = new ArrayList<>();
        private long revision = 100;

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
            server.setExecutor(threads);
            server.createContext("/-/objects/", this::handle);
            server.start();
        }

        /** Listens at another address, too; tells of each call there. */
        InetSocketAddress listenAlso(Runnable listener) throws IOException {
            HttpServer other = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
            other.setExecutor(threads);
            other.createContext("/-/objects/", exchange -> {
                listener.run();
                handle(exchange);
            });
            other.start();
            others.add(other);
            return other.getAddress();
        }

        private record Change(long revision, String kind, ObjectNode object, boolean isDeleted) {}

        private record Response(int status, JsonNode body) {}

        InetSocketAddress address() {
            return server.getAddress();
        }

        /** Creates or replaces an object; its return is the acknowledgement. */
        synchronized void put(String kind, String name, String spec) {
            try {
                store(kind, name, JSON.readTree(spec));
            } catch (IOException malformed) {
                throw new IllegalArgumentException(malformed);
            }
        }

        synchronized void delete(String kind, String name) {
            ObjectNode deleted = objects.get(kind).remove(name);
            revision += 1;
            ObjectNode tombstone = deleted.deepCopy();
            ((ObjectNode) tombstone.get("metadata")).put("revision", revision);
            history.add(new Change(revision, kind, tombstone, true));
            notifyAll();
        }

        private void store(String kind, String name, JsonNode spec) {
            TreeMap<String, ObjectNode> ofKind = objects.computeIfAbsent(kind, any -> new TreeMap<>());
            if (ofKind.containsKey(name) && ofKind.get(name).get("spec").equals(spec)) {
                return;
            }
            revision += 1;
            ObjectNode object = JSON.createObjectNode();
            ObjectNode metadata = object.putObject("metadata");
            metadata.put("name", name).put("revision", revision).put("created", revision);
            metadata.putArray("finalizers");
            metadata.put("deleting", false);
            object.set("spec", spec);
            object.putNull("status");
            ofKind.put(name, object);
            history.add(new Change(revision, kind, object, false));
            notifyAll();
        }

        private void handle(HttpExchange exchange) throws IOException {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Response response = respond(exchange, body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body));
            byte[] bytes = JSON.writeValueAsBytes(response.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        private synchronized Response respond(HttpExchange exchange, JsonNode body) {
            String[] path =
                    exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/");
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            TreeMap<String, ObjectNode> ofKind = objects.computeIfAbsent(path[0], any -> new TreeMap<>());
            return switch (exchange.getRequestMethod()) {
                case "GET" -> {
                    if (path.length > 1) {
                        ObjectNode object = ofKind.get(path[1]);
                        yield object == null
                                ? new Response(404, JSON.createObjectNode())
                                : new Response(200, object);
                    }
                    yield query.containsKey("watch") ? watch(path[0], query) : list(ofKind, query);
                }
                case "POST" -> {
                    String name = body.path("metadata").path("name").asText();
                    if (ofKind.containsKey(name)) {
                        yield new Response(409, ofKind.get(name));
                    }
                    store(path[0], name, body.path("spec"));
                    yield new Response(200, ofKind.get(name));
                }
                case "PUT" -> {
                    if (!ofKind.containsKey(path[1])) {
                        yield new Response(404, JSON.createObjectNode());
                    }
                    store(path[0], path[1], body.path("spec"));
                    yield new Response(200, ofKind.get(path[1]));
                }
                default -> new Response(405, JSON.createObjectNode());
            };
        }

        private Response list(TreeMap<String, ObjectNode> ofKind, Map<String, String> query) {
            String after = query.getOrDefault("after_rev", "");
            var rest = after.isEmpty() ? ofKind : ofKind.tailMap(after, false);
            ObjectNode body = JSON.createObjectNode();
            ArrayNode entries = body.putArray("entries");
            rest.values().stream().limit(PAGE).forEach(entries::add);
            body.put("truncated", rest.size() > PAGE);
            body.put("as_of", revision);
            return new Response(200, body);
        }

        private Response watch(String kind, Map<String, String> query) {
            long from = Long.parseLong(query.get("watch"));
            long until = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
            while (true) {
                ObjectNode body = JSON.createObjectNode();
                ArrayNode events = body.putArray("events");
                for (Change change : history) {
                    if (change.kind().equals(kind) && change.revision() > from) {
                        ObjectNode event = events.addObject();
                        event.set("object", change.object());
                        event.put("tombstone", change.isDeleted());
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                if (!events.isEmpty() || left <= 0) {
                    body.put("as_of", revision);
                    return new Response(200, body);
                }
                try {
                    wait(left);
                } catch (InterruptedException interruption) {
                    Thread.currentThread().interrupt();
                    return new Response(503, body);
                }
            }
        }

        private static Map<String, String> query(String text) {
            Map<String, String> fields = new HashMap<>();
            if (text != null) {
                for (String field : text.split("&")) {
                    int equals = field.indexOf('=');
                    fields.put(field.substring(0, equals), field.substring(equals + 1));
                }
            }
            return fields;
        }

        @Override
        public void close() {
            server.stop(0);
            others.forEach(other -> other.stop(0));
            threads.shutdownNow();
        }
    }

    /** A proxy before the store: the connections that are open at a moment go silent for good, new ones work. */
    static final class SilencingProxy implements AutoCloseable {
        private final ServerSocket server;
        private final InetSocketAddress target;
        private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        private final List<Link> links = new CopyOnWriteArrayList<>();

        SilencingProxy(InetSocketAddress target) throws IOException {
            this.target = target;
            this.server = new ServerSocket(0, 200, LOOPBACK);
            threads.execute(this::accept);
        }

        private static final class Link {
            volatile boolean isSilent;
        }

        int port() {
            return server.getLocalPort();
        }

        /** Returns how many connections are silent from now on. */
        int silenceOpenConnections() {
            links.forEach(link -> link.isSilent = true);
            return links.size();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket client = server.accept();
                    threads.execute(() -> connect(client));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void connect(Socket client) {
            Link link = new Link();
            try (client;
                    Socket upstream = new Socket(target.getAddress(), target.getPort())) {
                client.setTcpNoDelay(true);
                upstream.setTcpNoDelay(true);
                links.add(link);
                Thread answers = Thread.ofVirtual().start(() -> forward(link, upstream, client));
                forward(link, client, upstream);
                answers.join();
            } catch (IOException | InterruptedException ended) {
                // Both ends are closed.
            } finally {
                links.remove(link);
            }
        }

        private static void forward(Link link, Socket from, Socket to) {
            byte[] buffer = new byte[16_384];
            try {
                for (int count = from.getInputStream().read(buffer);
                        count >= 0;
                        count = from.getInputStream().read(buffer)) {
                    if (!link.isSilent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                from.close();
                to.close();
            } catch (IOException closed) {
                try {
                    from.close();
                    to.close();
                } catch (IOException alreadyClosed) {
                    // Both are closed.
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            threads.shutdownNow();
        }
    }

    /** The head and the body of a request or a response. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a line that ends with CR LF; null at the end of the input. */
    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = input.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** A request that reached a runner. */
    record Arrival(String request, double at) {}

    /** What a runner does with a request. */
    interface Work {
        void respond(Message request, OutputStream output) throws IOException;
    }

    /** A runner of a service; records which requests it ran. */
    static final class Runner implements AutoCloseable {
        private final String identifier;
        private final String service;
        private final int slots;
        private final ServerSocket server;
        private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        private final Set<String> ran = ConcurrentHashMap.newKeySet();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final AtomicInteger running = new AtomicInteger();
        private final long startedAtMillis = System.currentTimeMillis();
        private final Work work;

        Runner(String identifier, String service, int slots, Work work) throws IOException {
            this.identifier = identifier;
            this.service = service;
            this.slots = slots;
            this.work = work;
            this.server = new ServerSocket(0, 512, LOOPBACK);
            threads.execute(this::accept);
        }

        String identifier() {
            return identifier;
        }

        int port() {
            return server.getLocalPort();
        }

        boolean hasRun(String request) {
            return ran.contains(request);
        }

        String entry(String state, int sequence) {
            return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"a\","
                    + "\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                    + "\",\"cold_left_ms\":0,\"sequence\":" + sequence + ",\"born\":" + startedAtMillis + "}";
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    threads.execute(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            sockets.add(socket);
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                OutputStream output = socket.getOutputStream();
                for (String line = readLine(input); line != null; line = readLine(input)) {
                    Map<String, String> headers = readHeaders(input);
                    byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    Message request = new Message(line, headers, body);
                    String expected = request.header("x-expect-instance");
                    if (line.startsWith("GET /healthz")) {
                        write(output, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + identifier
                                + "\r\nContent-Length: 0\r\n\r\n");
                    } else if (!expected.isEmpty() && !expected.equals(identifier)) {
                        write(output, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                                + request.header("x-attempt-id") + "\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        run(request, output);
                    }
                }
            } catch (IOException closed) {
                // The host closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        /** The process ends: its connections are closed, also those with a request in progress. */
        void exit() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        private void run(Message request, OutputStream output) throws IOException {
            ran.add(request.header("x-attempt-id"));
            running.incrementAndGet();
            try {
                work.respond(request, output);
            } finally {
                running.decrementAndGet();
            }
        }

        /** Writes a whole response with a length. */
        void respond(Message request, OutputStream output, byte[] body) throws IOException {
            write(output, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                    + "\r\nX-Runner-Stamp: " + identifier + "." + request.header("x-attempt-id")
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n");
            output.write(body);
            output.flush();
        }

        static void write(OutputStream output, String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        @Override
        public void close() throws IOException {
            server.close();
            threads.shutdownNow();
        }
    }

    /** A host: the project's program, started with the command of the deploy file. */
    static final class Host implements AutoCloseable {
        private final String name;
        private final String zone;
        private final Path settings;
        private final Path log;
        final int callerPort = freePort();
        final int directoryPort = freePort();
        final int readyPort = freePort();
        final int peerPort;
        final int metricsPort = freePort();
        private Process process;
        private boolean isEndExpected;

        Host(String name, Path directory, int storePort, int peerPort, List<Integer> seeds) throws IOException {
            this(name, "a", directory, storePort, peerPort, seeds);
        }

        Host(String name, String zone, Path directory, int storePort, int peerPort, List<Integer> seeds)
                throws IOException {
            this.name = name;
            this.zone = zone;
            this.peerPort = peerPort;
            this.settings = directory.resolve(name + ".toml");
            this.log = directory.resolve(name + ".log");
            Files.writeString(settings, settingsText(storePort, seeds));
        }

        /** The first port of a range below Linux's ephemeral ports, which are given to outgoing connections. */
        private static final int FIRST_PORT = 12_000;

        private static final int PORT_COUNT = 18_000;
        private static final AtomicInteger NEXT_PORT =
                new AtomicInteger((int) (ProcessHandle.current().pid() * 1_009 % PORT_COUNT));

        /** Returns a port that is free and that the system doesn't assign to outgoing connections. */
        static int freePort() {
            for (int tried = 0; tried < PORT_COUNT; tried++) {
                int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
                try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                    return socket.getLocalPort();
                } catch (IOException taken) {
                    // Try the next one.
                }
            }
            throw new IllegalStateException("no port is free");
        }

        /** The template of the deploy file, filled in for a machine of the small deployment. */
        private String settingsText(int storePort, List<Integer> seeds) {
            String seedList = String.join(
                    ", ", seeds.stream().map(port -> "\"127.0.0.1:" + port + "\"").toList());
            return """
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
                    """.formatted(
                    name, zone, callerPort, directoryPort, readyPort, peerPort, seedList, metricsPort, storePort);
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    command.addAll(List.of(line.substring(7, line.length() - 1).split(" ")));
                }
            }
            command.addAll(List.of("--settings", settings.toString()));
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        }

        String name() {
            return name;
        }

        /** Tells the process to end in order, as the platform does, and waits for that. */
        void terminate() throws IOException, InterruptedException {
            signal("TERM");
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        }

        void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!isReady()) {
                if (System.nanoTime() > until || !process.isAlive()) {
                    throw new IOException("host " + name + " does not become ready");
                }
                Thread.sleep(100);
            }
        }

        /** Asks the question that the platform asks each second. */
        boolean isReady() throws InterruptedException {
            try {
                HttpRequest question = HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + readyPort + "/-/readyz"))
                        .timeout(Duration.ofSeconds(1))
                        .build();
                return CLIENT.send(question, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        private static final HttpClient CLIENT = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Sends a signal to some hosts at the same moment. */
        static void signal(String signal, List<Host> hosts) throws IOException, InterruptedException {
            List<String> command = new ArrayList<>(List.of("kill", "-" + signal));
            hosts.forEach(host -> command.add(Long.toString(host.process.pid())));
            new ProcessBuilder(command).start().waitFor();
        }

        @Override
        public void close() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** A caller's connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream input;
        final OutputStream output;

        Connection(int port, int receiveBuffer, int timeoutMillis) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            input = new BufferedInputStream(socket.getInputStream(), 4096);
            output = socket.getOutputStream();
        }

        void send(String method, String path, String identifier, String key, int deadlineMillis, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: shop.example\r\n");
            head.append("X-Attempt-Id: ").append(identifier).append("\r\n");
            head.append("X-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
            if (!key.isEmpty()) {
                head.append("Authorization: Bearer ").append(key).append("\r\n");
            }
            if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            output.write(bytes.toByteArray());
            output.flush();
        }

        /** Reads a whole response; null if the connection ends before its first byte. */
        Message receive() throws IOException {
            String line = readLine(input);
            if (line == null) {
                return null;
            }
            Map<String, String> headers = readHeaders(input);
            if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    String size = readLine(input);
                    if (size == null) {
                        throw new IOException("the response breaks off");
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    byte[] part = input.readNBytes(length);
                    if (part.length < length) {
                        throw new IOException("the response breaks off");
                    }
                    body.writeBytes(part);
                    readLine(input);
                    if (length == 0) {
                        return new Message(line, headers, body.toByteArray());
                    }
                }
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = input.readNBytes(length);
            if (body.length < length) {
                throw new IOException("the response breaks off");
            }
            return new Message(line, headers, body);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException closed) {
                // It is closed already.
            }
        }
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case; the process exits with its result, or with 2 if it couldn't run. */
    static void run(Path folder, Case body) {
        int result = 2;
        Path directory = null;
        try (Record record = new Record(folder.resolve("record.txt"))) {
            directory = Files.createTempDirectory("review");
            record.write("trouble: %s", isTrouble());
            try {
                result = body.run(record, directory);
            } catch (Exception | Error failure) {
                record.write("the case could not run: %s", failure);
                failure.printStackTrace();
            }
            record.write("result: %d", result);
        } catch (IOException failure) {
            failure.printStackTrace();
        } finally {
            if (directory != null && System.getenv("KEEP") == null) {
                delete(directory.toFile());
            }
        }
        System.exit(result);
    }

    interface Case {
        int run(Record record, Path directory) throws Exception;
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                delete(child);
            }
        }
        file.delete();
    }
}
