package org.mangowall.edge.log;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class TrafficMeterTest {

    @Test
    void bytesAreCountedByEndpointUntilTheyAreTaken() {
        TrafficMeter meter = new TrafficMeter();
        EmbeddedChannel caller = new EmbeddedChannel(meter.counter(TrafficMeter.Endpoint.CALLER));
        EmbeddedChannel peer = new EmbeddedChannel(meter.counter(TrafficMeter.Endpoint.PEER));
        caller.writeInbound(Unpooled.wrappedBuffer(new byte[5]));
        caller.writeOutbound(Unpooled.wrappedBuffer(new byte[7]), Unpooled.wrappedBuffer(new byte[4]));
        peer.writeOutbound(Unpooled.wrappedBuffer(new byte[3]));
        assertEquals(new TrafficMeter.Traffic(5, 11), meter.take(TrafficMeter.Endpoint.CALLER));
        assertEquals(new TrafficMeter.Traffic(0, 0), meter.take(TrafficMeter.Endpoint.CALLER));
        assertEquals(new TrafficMeter.Traffic(0, 3), meter.take(TrafficMeter.Endpoint.PEER));
        assertEquals(new TrafficMeter.Traffic(0, 0), meter.take(TrafficMeter.Endpoint.RUNNER));
        caller.finishAndReleaseAll();
        peer.finishAndReleaseAll();
    }
}
