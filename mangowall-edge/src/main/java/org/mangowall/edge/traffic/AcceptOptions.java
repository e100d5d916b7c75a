package org.mangowall.edge.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;

/** The options with which a host accepts connections. */
public final class AcceptOptions {

    private static final int BACKLOG = 1_024;

    private AcceptOptions() {}

    /** Sets the options of a listening socket and of its connections. */
    public static ServerBootstrap applyTo(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true);
    }
}
