package org.mangowall.edge.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Lets the system find connections whose other end has gone silent. */
public final class TcpKeepAlive {

    /** Seconds without traffic after which the other end is probed. */
    private static final int IDLE_SECONDS = 1;

    private static final int INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private TcpKeepAlive() {}

    /** Turns probes on. */
    public static void apply(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
