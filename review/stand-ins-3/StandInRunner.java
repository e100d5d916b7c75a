package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A sound runner: runs what is meant for it, one request at a time on a connection, and closes idle connections. */
public final class StandInRunner implements AutoCloseable {

    private static final int IDLE_MILLIS = 1_500;

    private final String identifier;
    private final ServerSocket server;
    private final Work work;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** What a runner does for a request, and the response that it writes. */
    @FunctionalInterface
    public interface Work {

        void run(StandInRunner runner, HttpRequestText request, OutputStream output) throws Exception;
    }

    public StandInRunner(String identifier, Work work) {
        this.identifier = identifier;
        this.work = work;
        try {
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        threads.execute(this::accept);
    }

    public String identifier() {
        return identifier;
    }

    /** The entry in the store. */
    public String entry(String service, String zone, int slots, String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_left_ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
                + ",\"born\":1764000000000,\"sequence\":" + sequence + "}";
    }

    /** The head of a response up to its own headers. */
    public static String head(HttpRequestText request, String status) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                + "\r\nX-Runner-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=1\r\n";
    }

    public static void write(OutputStream output, String text) throws IOException {
        output.write(HttpRequestText.bytes(text));
        output.flush();
    }

    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
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
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_MILLIS);
            InputStream input = new BufferedInputStream(socket.getInputStream(), 1 << 15);
            OutputStream output = socket.getOutputStream();
            HttpRequestText request = HttpRequestText.read(input);
            while (request != null) {
                answer(request, output);
                request = HttpRequestText.read(input);
            }
        } catch (Exception ended) {
            // The host closed the connection, or it was idle for too long.
        }
    }

    private void answer(HttpRequestText request, OutputStream output) throws Exception {
        if (!request.header("x-expect-instance").equals(identifier)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                    + request.header("x-attempt-id") + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        work.run(this, request, output);
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        threads.shutdownNow();
    }
}
