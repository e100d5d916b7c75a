package org.mangowall.router;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;
import org.mangowall.protocol.PeerFrame;
import org.mangowall.protocol.PeerFrameCodec;
import org.mangowall.protocol.PeerMessage;

/** A router that says what a script wants. */
final class FakePeer implements AutoCloseable {

    private final ServerSocket server;
    private final Script script;

    interface Script {
        void run(Connection connection) throws IOException;
    }

    FakePeer(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Connection connection = new Connection(server.accept())) {
                connection.greet();
                script.run(connection);
            } catch (IOException failure) {
                // The router went away, or the script is over.
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** One connection of a router. */
    static final class Connection implements AutoCloseable {

        private final Socket socket;
        private long epoch;

        Connection(Socket socket) {
            this.socket = socket;
        }

        private void greet() throws IOException {
            PeerFrame hello = read();
            epoch = hello.connectionEpoch();
            send(new PeerMessage.Hello(1, new RouterName("router-1"), 1, new ZoneName("zone-1")));
        }

        PeerFrame read() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return PeerFrameCodec.decode(in.readNBytes(in.readInt()));
        }

        <T extends PeerMessage> T await(Class<T> kind) throws IOException {
            PeerMessage message = read().message();
            while (!kind.isInstance(message)) {
                message = read().message();
            }
            return kind.cast(message);
        }

        void send(PeerMessage message) throws IOException {
            sendOtherEpoch(epoch, message);
        }

        void sendOtherEpoch(long other, PeerMessage message) throws IOException {
            byte[] bytes = PeerFrameCodec.encode(new PeerFrame(other, message));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(bytes.length);
            out.write(bytes);
            out.flush();
        }

        long epoch() {
            return epoch;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
