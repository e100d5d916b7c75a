package org.mangowall.edge.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;

/** The options with which a host accepts connections. */
public final class AcceptOptions {

    private static final int BACKLOG = 1_024;
    /**
     * All waiting connections are accepted in one turn of the event loop. Nothing tells how long they have waited, so
     * their requests would be taken for new ones.
     */
    static final int MAX_ACCEPTED_IN_A_TURN = BACKLOG;

    private AcceptOptions() {}

    /** Sets the options of a listening socket and of its connections. */
    public static ServerBootstrap applyTo(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, allConnections())
                .childOption(ChannelOption.TCP_NODELAY, true);
    }

    /** Returns the option that has all waiting connections accepted in one turn. */
    static ServerChannelRecvByteBufAllocator allConnections() {
        ServerChannelRecvByteBufAllocator allocator = new ServerChannelRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_ACCEPTED_IN_A_TURN);
        return allocator;
    }
}
