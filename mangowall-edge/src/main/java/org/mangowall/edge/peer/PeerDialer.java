package org.mangowall.edge.peer;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.traffic.LoopListener;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.checked.UnitSyntax;

/** Opens TCP connections to other hosts. */
final class PeerDialer implements PeerMesh.Dialer {

    /** Hosts accept a connection within milliseconds, in other regions within a few hundred. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoop loop;
    private final TrafficMeter traffic;

    PeerDialer(EventLoop loop, TrafficMeter traffic) {
        this.loop = loop;
        this.traffic = traffic;
    }

    @Override
    public void dial(String peerAddress, PeerChannel.Receiver receiver, Consumer<Optional<PeerChannel>> listener) {
        Optional<HostAndPort> address = UnitSyntax.parseAddress(peerAddress);
        if (address.isEmpty()) {
            listener.accept(Optional.empty());
            return;
        }
        PeerChannel outbound = new PeerChannel(receiver);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(traffic.counter(TrafficMeter.Endpoint.PEER));
                        outbound.install(channel);
                    }
                })
                .connect(address.get().toSocketAddress())
                .addListener(LoopListener.inLoop(
                        loop, done -> listener.accept(done.isSuccess() ? Optional.of(outbound) : Optional.empty())));
    }
}
