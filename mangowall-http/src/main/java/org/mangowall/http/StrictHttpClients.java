package org.mangowall.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpClientCodec;

/** Makes clients of libraries that are built on Netty read responses strictly. */
public final class StrictHttpClients {

    private StrictHttpClients() {}

    /** Replaces the codec of a client's connection. */
    public static void readStrictly(Channel channel) {
        replaceCodec(channel, new StrictClientCodec());
    }

    /** Replaces the codec of a client's connection with another one. */
    public static void replaceCodec(Channel channel, ChannelHandler codec) {
        String name = channel.pipeline().context(HttpClientCodec.class).name();
        channel.pipeline().replace(name, name, codec);
    }
}
