package review3;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store, in memory: lists in pages, watches, conditional writes. Each host calls a port of its own, so
 * that the path of a single host can be cut.
 */
public final class StandInStore implements AutoCloseable {

    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, TreeMap<String, Stored>> objects = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> watches = new HashMap<>();
    private long revision = 100;
    private volatile boolean isClosed;

    private record Stored(String name, long revision, long created, String spec) {

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Change(long revision, String kind, Stored object, boolean isDeleted) {}

    /** Opens the port at which one host reaches the store. */
    public int open(String host) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
            server.setExecutor(threads);
            server.createContext("/-/objects/", exchange -> handle(host, exchange));
            server.start();
            servers.add(server);
            return server.getAddress().getPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Cuts the path of a host: nothing is answered any more, on open connections nor on new ones. */
    public void cut(String host) {
        cut.add(host);
    }

    /** The hosts that have a watch waiting now. */
    public synchronized Set<String> watchingHosts() {
        return new TreeSet<>(watches.keySet());
    }

    /** Writes an object; returning is the acknowledgement. */
    public synchronized long put(String kind, String name, String spec) {
        revision += 1;
        Stored known = objects.computeIfAbsent(kind, any -> new TreeMap<>()).get(name);
        Stored stored = new Stored(name, revision, known == null ? revision : known.created(), spec);
        objects.get(kind).put(name, stored);
        history.add(new Change(revision, kind, stored, false));
        notifyAll();
        return revision;
    }

    public synchronized void delete(String kind, String name) {
        Stored known = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (known == null) {
            return;
        }
        revision += 1;
        Stored last = new Stored(name, revision, known.created(), known.spec());
        history.add(new Change(revision, kind, last, true));
        notifyAll();
    }

    private void awaitPath(String host) {
        while (cut.contains(host) && !isClosed) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException interruption) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private record Response(int status, String body) {}

    private void handle(String host, HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        awaitPath(host);
        Response response = response(host, exchange, body);
        awaitPath(host);
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Response response(String host, HttpExchange exchange, String body) {
        String[] path = exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/");
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        return switch (exchange.getRequestMethod()) {
            case "GET" -> query.containsKey("watch") ? watch(host, path[0], query) : read(path, query);
            case "POST" -> create(path[0], body);
            case "PUT" -> replace(path[0], path[1], body);
            default -> new Response(405, "{}");
        };
    }

    private synchronized Response read(String[] path, Map<String, String> query) {
        TreeMap<String, Stored> all = objects.getOrDefault(path[0], new TreeMap<>());
        if (path.length > 1) {
            Stored one = all.get(path[1]);
            return one == null ? new Response(404, "{}") : new Response(200, one.json());
        }
        String after = query.getOrDefault("after_rev", "");
        StringBuilder entries = new StringBuilder();
        int count = 0;
        boolean isTruncated = false;
        for (Stored stored : (after.isEmpty() ? all : all.tailMap(after, false)).values()) {
            if (count == PAGE_OBJECTS || entries.length() > PAGE_BYTES) {
                isTruncated = true;
                break;
            }
            entries.append(count == 0 ? "" : ",").append(stored.json());
            count += 1;
        }
        return new Response(
                200, "{\"entries\":[" + entries + "],\"truncated\":" + isTruncated + ",\"as_of\":" + revision + "}");
    }

    private synchronized Response watch(String host, String kind, Map<String, String> query) {
        long from = Long.parseLong(query.get("watch"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        watches.merge(host, 1, Integer::sum);
        try {
            while (true) {
                StringBuilder events = new StringBuilder();
                for (int index = history.size() - 1; index >= 0; index--) {
                    Change change = history.get(index);
                    if (change.revision() <= from) {
                        break;
                    }
                    if (change.kind().equals(kind)) {
                        String event = "{\"tombstone\":" + change.isDeleted() + ",\"object\":"
                                + change.object().json() + "}";
                        events.insert(0, event + (events.isEmpty() ? "" : ","));
                    }
                }
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMillis <= 0) {
                    return new Response(200, "{\"events\":[" + events + "],\"as_of\":" + revision + "}");
                }
                wait(leftMillis);
            }
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            return new Response(503, "{}");
        } finally {
            watches.computeIfPresent(host, (name, count) -> count == 1 ? null : count - 1);
        }
    }

    private synchronized Response create(String kind, String body) {
        String name = textAfter(body, "\"name\":\"");
        if (objects.getOrDefault(kind, new TreeMap<>()).containsKey(name)) {
            return new Response(409, "{}");
        }
        put(kind, name, spec(body));
        return new Response(201, objects.get(kind).get(name).json());
    }

    private synchronized Response replace(String kind, String name, String body) {
        if (!objects.getOrDefault(kind, new TreeMap<>()).containsKey(name)) {
            return new Response(404, "{}");
        }
        put(kind, name, spec(body));
        return new Response(200, objects.get(kind).get(name).json());
    }

    private static String textAfter(String body, String start) {
        int from = body.indexOf(start) + start.length();
        return body.substring(from, body.indexOf('"', from));
    }

    /** The hosts write objects whose last member is the spec. */
    private static String spec(String body) {
        return body.substring(body.indexOf("\"spec\":") + "\"spec\":".length(), body.lastIndexOf('}'));
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
        isClosed = true;
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
