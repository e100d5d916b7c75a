package org.mangowall.edge.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Configures TCP keep-alive, by which the operating system detects dead connections. */
public final class TcpKeepAlive {

    /** Seconds without traffic before the first probe. */
    private static final int PROBE_IDLE_SECONDS = 1;

    private static final int PROBE_INTERVAL_SECONDS = 1;
    private static final int PROBE_COUNT = 2;

    private TcpKeepAlive() {}

    /** Enables keep-alive probes on a TCP channel. */
    public static void apply(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
    }
}
