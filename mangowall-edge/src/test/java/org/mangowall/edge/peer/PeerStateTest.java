package org.mangowall.edge.peer;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.model.HostRecord;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerStateTest {

    /** A host may come back as an earlier version. */
    @Test
    void theProtocolVersionHoldsForOneConnection() {
        HostRecord record = new HostRecord("h", 1, "10.0.0.1:1", "10.0.0.1:2", "a", 0.75);
        PeerState peer = new PeerState(record);
        PeerChannel inbound = new PeerChannel(null);
        assertFalse(peer.acceptsCompression());
        LinkRole role = new LinkRole(true, true, true);
        peer.helloReceived(inbound, new HostMessage.Hello(record, role, false, List.of(), PeerCodec.VERSION));
        assertTrue(peer.acceptsCompression());
        peer.closed(inbound);
        assertFalse(peer.acceptsCompression());
    }
}
