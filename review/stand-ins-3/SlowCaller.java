package review3;

import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;

/**
 * A client behind a slow link: it reads an answer at a steady rate. The size of its segments and its window are those of
 * such a link; the loopback's own would let the system keep some megabytes for each connection.
 */
public final class SlowCaller implements AutoCloseable {

    private static final int SEGMENT_BYTES = 1_400;
    private static final int WINDOW_BYTES = 1 << 12;
    private static final int LEVEL_TCP = 6;
    private static final int OPTION_MAXIMUM_SEGMENT = 2;
    private static final int READ_BYTES = 2_048;

    private final SocketChannel channel;
    private final InputStream input;

    public SlowCaller(int port) throws IOException {
        channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, WINDOW_BYTES);
        setSegmentSize();
        channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        input = Channels.newInputStream(channel);
    }

    /** The public interface of the runtime lacks this option; it needs --add-opens java.base/sun.nio.ch=ALL-UNNAMED. */
    private void setSegmentSize() {
        try {
            Method descriptorOf = channel.getClass().getDeclaredMethod("getFD");
            descriptorOf.setAccessible(true);
            Method setOption = Class.forName("sun.nio.ch.Net")
                    .getDeclaredMethod(
                            "setIntOption0",
                            FileDescriptor.class,
                            boolean.class,
                            int.class,
                            int.class,
                            int.class,
                            boolean.class);
            setOption.setAccessible(true);
            setOption.invoke(
                    null, descriptorOf.invoke(channel), false, LEVEL_TCP, OPTION_MAXIMUM_SEGMENT, SEGMENT_BYTES, false);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("the size of segments can't be set", missing);
        }
    }

    /**
     * Sends a request and reads the answer.
     *
     * @param bytesPerSecond the rate of the link; 0 if it isn't limited
     * @return the status and the bytes of the body, or how it broke off; "no answer" if not a byte of it came
     */
    public String send(String request, int bytesPerSecond) throws IOException, InterruptedException {
        channel.write(java.nio.ByteBuffer.wrap(HttpRequestText.bytes(request)));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next;
            try {
                next = input.read();
            } catch (IOException reset) {
                return head.isEmpty() ? "no answer: " + reset.getMessage() : "reset in the head";
            }
            if (next < 0) {
                return head.isEmpty() ? "no answer: closed" : "closed in the head";
            }
            head.append((char) next);
        }
        int start = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        String status = head.substring(9, 12);
        if (start < 0) {
            return status + ", no length: " + head.toString().replace("\r\n", "|");
        }
        int length = Integer.parseInt(head.substring(start + 16, head.indexOf("\r", start)));
        byte[] buffer = new byte[READ_BYTES];
        int read = 0;
        long startedAt = System.nanoTime();
        while (read < length) {
            int count = input.read(buffer, 0, Math.min(READ_BYTES, length - read));
            if (count < 0) {
                return "closed in the body after " + read + " bytes";
            }
            read += count;
            if (bytesPerSecond > 0) {
                long dueNanos = startedAt + read * 1_000_000_000L / bytesPerSecond;
                Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
            }
        }
        return status + ", " + read + " bytes";
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
