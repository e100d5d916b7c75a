package org.mangowall.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Tells whether a connection was reset after its input had ended.
 *
 * <p>Reads don't tell: they return the end of the input. A selector reports an error that is pending as
 * {@link SelectionKey#OP_CONNECT}.
 */
public final class ResetProbe {

    /** The last bytes of a request this large may still be on their way when the other end closes the connection. */
    public static final int LARGE_REQUEST_BYTES = 1 << 14;

    /** Within this time, a reset that such bytes cause follows the end of the input. */
    public static final long RESET_DELAY_MILLIS = 20;

    private ResetProbe() {}

    /**
     * Whether an error is pending on a connected channel; always false without a socket.
     *
     * @throws IOException if that can't be determined
     */
    public static boolean isReset(Channel channel) throws IOException {
        if (!(channel instanceof AbstractNioChannel socket)) {
            return false;
        }
        if (!channel.isOpen()) {
            return true;
        }
        try (Selector selector = Selector.open()) {
            SelectionKey key = socket.unsafe().ch().register(selector, SelectionKey.OP_CONNECT);
            selector.selectNow();
            return key.isConnectable();
        }
    }
}
