import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound stand-in of the platform's store: objects by kind and name, one revision counter, lists and watches. */
final class Store implements AutoCloseable {

    private record Stored(String name, long revision, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Change(String kind, Stored object, boolean isDeleted, long revision) {}

    /** The rate of the sheet, {@code platform.reads_per_s}. */
    private static final int READS_PER_SECOND = 2_000;
    private static final String GONE = "gone";
    private static final String AWAY = "away";

    private final HttpServer server;
    private final Map<String, TreeMap<String, Stored>> objects = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;
    private int era = 1;
    private boolean isAway;
    private long secondStartedAt = System.nanoTime();
    private int readsInSecond;
    private long reads;

    /** A copy of everything at one moment. */
    private record Copy(Map<String, TreeMap<String, Stored>> objects, List<Change> history, long revision) {}

    private Copy copy;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/-/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized long put(String kind, String name, String spec) {
        revision += 1;
        Stored stored = new Stored(name, revision, spec);
        objects.computeIfAbsent(kind, any -> new TreeMap<>()).put(name, stored);
        history.add(new Change(kind, stored, false, revision));
        notifyAll();
        return revision;
    }

    synchronized void delete(String kind, String name) {
        Stored removed = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (removed != null) {
            revision += 1;
            history.add(new Change(kind, new Stored(name, revision, removed.spec()), true, revision));
            notifyAll();
        }
    }

    /** Makes the copy to which {@link #restoreCopy} returns. */
    synchronized long makeCopy() {
        Map<String, TreeMap<String, Stored>> copied = new HashMap<>();
        objects.forEach((kind, stored) -> copied.put(kind, new TreeMap<>(stored)));
        copy = new Copy(copied, List.copyOf(history), revision);
        return revision;
    }

    /** All calls get 503 from now on; waiting watches end. */
    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    /** The store is back with the copy: revisions go back and are given out again. */
    synchronized void restoreCopy() {
        objects.clear();
        objects.putAll(copy.objects());
        history.clear();
        history.addAll(copy.history());
        revision = copy.revision();
        era += 1;
        isAway = false;
    }

    synchronized long revision() {
        return revision;
    }

    /** The number of reading calls, refused ones included. */
    synchronized long reads() {
        return reads;
    }

    private synchronized boolean isRefused(boolean isRead) {
        long now = System.nanoTime();
        if (now - secondStartedAt > 1_000_000_000L) {
            secondStartedAt = now;
            readsInSecond = 0;
        }
        readsInSecond += isRead ? 1 : 0;
        reads += isRead ? 1 : 0;
        return readsInSecond > READS_PER_SECOND;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String[] path = exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/");
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String field : text == null ? new String[0] : text.split("&")) {
                query.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
            }
            int status = 200;
            String answer = "{}";
            String method = exchange.getRequestMethod();
            switch (isRefused(method.equals("GET")) ? "refused" : isAway() ? AWAY : method) {
                case "refused" -> status = 429;
                case AWAY -> status = 503;
                case "GET" -> answer = query.containsKey("watch") ? watch(path[0], query) : list(path[0], query);
                case "POST" -> {
                    String name = field(body, "name");
                    synchronized (this) {
                        if (objects.getOrDefault(path[0], new TreeMap<>()).containsKey(name)) {
                            status = 409;
                        } else {
                            put(path[0], name, spec(body));
                        }
                    }
                }
                case "PUT" -> {
                    synchronized (this) {
                        if (objects.getOrDefault(path[0], new TreeMap<>()).containsKey(path[1])) {
                            put(path[0], path[1], spec(body));
                        } else {
                            status = 404;
                        }
                    }
                }
                default -> status = 405;
            }
            if (answer.equals(GONE) || answer.equals(AWAY)) {
                status = answer.equals(GONE) ? 410 : 503;
                answer = "{}";
            }
            exchange.getResponseHeaders().set("Store-Era", Integer.toString(era()));
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private synchronized boolean isAway() {
        return isAway;
    }

    private synchronized int era() {
        return era;
    }

    private static String field(String body, String name) {
        int start = body.indexOf("\"" + name + "\":\"") + name.length() + 4;
        return body.substring(start, body.indexOf('"', start));
    }

    private static String spec(String body) {
        int start = body.indexOf("\"spec\":") + 7;
        return body.substring(start, body.lastIndexOf('}'));
    }

    private synchronized String list(String kind, Map<String, String> query) {
        TreeMap<String, Stored> all = objects.getOrDefault(kind, new TreeMap<>());
        var rest = query.containsKey("after_rev") ? all.tailMap(query.get("after_rev"), false) : all;
        List<String> entries = rest.values().stream().limit(500).map(Stored::json).toList();
        return "{\"entries\":[" + String.join(",", entries) + "],\"truncated\":" + (rest.size() > 500) + ",\"as_of\":"
                + revision + "}";
    }

    private synchronized String watch(String kind, Map<String, String> query) {
        long from = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (isAway) {
                return AWAY;
            }
            if (from > revision) {
                return GONE;
            }
            List<String> events = history.stream()
                    .filter(change -> change.kind().equals(kind) && change.revision() > from)
                    .map(change -> "{\"tombstone\":" + change.isDeleted() + ",\"object\":" + change.object().json() + "}")
                    .toList();
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException interruption) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"as_of\":" + from + "}";
            }
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
