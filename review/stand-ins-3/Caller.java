package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client that keeps its connection to one host; it opens a new one after a failure. */
public final class Caller implements AutoCloseable {

    private final int port;
    private Socket socket;
    private InputStream input;

    public Caller(int port) {
        this.port = port;
    }

    /** How a request ended. */
    public record Outcome(Kind kind, int status, HttpRequestText response, long millis) {

        /** What the client has seen. */
        public enum Kind {
            ANSWERED,
            NO_CONNECTION,
            CLOSED_WITHOUT_ANSWER,
            NO_ANSWER_IN_TIME
        }
    }

    /** Sends a request and waits for the whole answer. */
    public Outcome send(String request, int waitMillis) {
        long startedAt = System.nanoTime();
        boolean isSent = false;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
                socket.setTcpNoDelay(true);
                input = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(waitMillis);
            socket.getOutputStream().write(HttpRequestText.bytes(request));
            isSent = true;
            HttpRequestText response = HttpRequestText.read(input);
            if (response == null) {
                return failed(Outcome.Kind.CLOSED_WITHOUT_ANSWER, startedAt);
            }
            if (response.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Outcome(Outcome.Kind.ANSWERED, response.status(), response, millis(startedAt));
        } catch (SocketTimeoutException late) {
            return failed(isSent ? Outcome.Kind.NO_ANSWER_IN_TIME : Outcome.Kind.NO_CONNECTION, startedAt);
        } catch (IOException ended) {
            return failed(isSent ? Outcome.Kind.CLOSED_WITHOUT_ANSWER : Outcome.Kind.NO_CONNECTION, startedAt);
        }
    }

    private Outcome failed(Outcome.Kind kind, long startedAt) {
        close();
        return new Outcome(kind, 0, null, millis(startedAt));
    }

    private static long millis(long startedAt) {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException alreadyClosed) {
            // It is of no use any more.
        }
        socket = null;
    }
}
