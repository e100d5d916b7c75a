package org.mangowall.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller on a plain socket, which can send malformed requests and reads the raw bytes of the answer. */
final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int SMALL_BUFFER_BYTES = 1 << 16;

    private final Socket socket;

    RawCaller(int port) throws IOException {
        this(new Socket(), port);
    }

    private RawCaller(Socket socket, int port) throws IOException {
        this.socket = socket;
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    /** Connects a caller for which the operating system receives little ahead of what it reads. */
    static RawCaller withSmallBuffer(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        return new RawCaller(socket, port);
    }

    static String chat(String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\ncontent-length: "
                + body.length() + "\r\n\r\n" + body;
    }

    static String plain(String method, String path, String body) {
        return method + " /services/register" + path + " HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\ncontent-length: "
                + body.length() + "\r\n\r\n" + body;
    }

    RawCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the router closes the connection. */
    String readToEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Reads until the received text ends with {@code end}. */
    String readUntil(String end) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.UTF_8).endsWith(end)) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + bytes.toString(StandardCharsets.UTF_8));
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Reads one answer with a content length. */
    String readAnswer() throws IOException {
        String head = readUntil("\r\n\r\n");
        int fieldStart = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        int length = Integer.parseInt(head.substring(fieldStart + 16, head.indexOf("\r\n", fieldStart)));
        return head + new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
    }

    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    InputStream input() throws IOException {
        return socket.getInputStream();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
