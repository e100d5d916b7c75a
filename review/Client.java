import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A stand-in of a client: one connection, one request at a time. */
final class Client implements AutoCloseable {

    /** What the client saw: a status, or 0 with the reason why there was no complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, String failure, double millis) {}

    final Socket socket;
    private final InputStream input;

    Client(int port) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream(), 65_536);
    }

    static String head(String method, String target, String id, long deadlineMillis, String key, int length) {
        return method + " " + target + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n"
                + (length > 0 || method.equals("POST") ? "Content-Length: " + length + "\r\n" : "");
    }

    Answer call(String head, byte[] body, long waitMillis) {
        long startedAt = System.nanoTime();
        try {
            socket.setSoTimeout((int) waitMillis);
            socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return read(startedAt);
        } catch (SocketTimeoutException silence) {
            return new Answer(0, Map.of(), new byte[0], "no answer", millis(startedAt));
        } catch (IOException failure) {
            return new Answer(0, Map.of(), new byte[0], "connection ended: " + failure.getMessage(), millis(startedAt));
        }
    }

    private static double millis(long startedAt) {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    private Answer read(long startedAt) throws IOException {
        String line = Runner.line(input);
        if (line == null) {
            throw new IOException("closed before the answer");
        }
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = new HashMap<>();
        for (String header = Runner.line(input); header != null && !header.isEmpty(); header = Runner.line(input)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            while (true) {
                String size = Runner.line(input);
                if (size == null) {
                    throw new IOException("closed inside the answer (" + status + ")");
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] chunk = input.readNBytes(length);
                if (chunk.length < length) {
                    throw new IOException("closed inside the answer (" + status + ")");
                }
                body.write(chunk);
                Runner.line(input);
                if (length == 0) {
                    break;
                }
            }
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] whole = input.readNBytes(length);
            if (whole.length < length) {
                throw new IOException("closed inside the answer (" + status + ")");
            }
            body.write(whole);
        }
        return new Answer(status, headers, body.toByteArray(), "", millis(startedAt));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
