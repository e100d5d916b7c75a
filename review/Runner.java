import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of a runner: one request at a time on a connection, connections kept open. */
final class Runner implements AutoCloseable {

    /** A request as it reached the runner. */
    record Request(String method, String target, Map<String, String> headers, byte[] body, Socket connection) {
        String id() {
            return headers.getOrDefault("x-attempt-id", "");
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    interface Behaviour {
        boolean answer(Request request, OutputStream output) throws Exception;
    }

    final String id;
    final String service;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Runner(String id, String service, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Thread.startVirtualThread(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    String entry(String zone, int slots, String state) {
        return entry(zone, slots, state, 0);
    }

    String entry(String zone, int slots, String state, int coldMillis) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_left_ms\":" + coldMillis + ",\"sequence\":1,\"born\":1700000000000}";
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream(), 65_536);
            boolean isKept = true;
            while (isKept) {
                Request request = read(input, socket);
                if (request == null) {
                    return;
                }
                if (!id.equals(request.headers().getOrDefault("x-expect-instance", id))) {
                    write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                            + "X-Attempt-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                isKept = behaviour.answer(request, socket.getOutputStream());
            }
        } catch (Exception ended) {
            // The peer closed the connection, or the stand-in is closing.
        } finally {
            open.remove(socket);
        }
    }

    private static Request read(InputStream input, Socket socket) throws IOException {
        String line = line(input);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String header = line(input); header != null && !header.isEmpty(); header = line(input)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        String[] words = line.split(" ");
        return new Request(words[0], words[1], headers, body, socket);
    }

    static String line(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                return text.toString().replace("\r", "");
            }
            text.append((char) next);
        }
        return null;
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    static String head(Request request, int status) {
        return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + request.id() + "\r\nX-Runner-Stamp: stamp-"
                + request.id() + "\r\nKeep-Alive: timeout=20\r\n";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
