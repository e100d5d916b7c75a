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

/** A peer router that completes the handshake and then sends what a script tells it to. */
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
                connection.completeHandshake();
                script.run(connection);
            } catch (IOException failure) {
                // The router closed the connection, or the script has ended.
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** One connection from the router under test. */
    static final class Connection implements AutoCloseable {

        private final Socket socket;
        private long epoch;

        Connection(Socket socket) {
            this.socket = socket;
        }

        private void completeHandshake() throws IOException {
            PeerFrame hello = read();
            epoch = hello.connectionEpoch();
            send(new PeerMessage.Hello(1, new RouterName("router-1"), 1, new ZoneName("zone-1")));
        }

        PeerFrame read() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return PeerFrameCodec.decode(in.readNBytes(in.readInt()));
        }

        <T extends PeerMessage> T await(Class<T> type) throws IOException {
            PeerMessage message = read().message();
            while (!type.isInstance(message)) {
                message = read().message();
            }
            return type.cast(message);
        }

        void send(PeerMessage message) throws IOException {
            sendWithEpoch(epoch, message);
        }

        void sendWithEpoch(long frameEpoch, PeerMessage message) throws IOException {
            byte[] bytes = PeerFrameCodec.encode(new PeerFrame(frameEpoch, message));
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
