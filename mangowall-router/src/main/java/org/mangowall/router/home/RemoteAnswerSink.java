package org.mangowall.router.home;

import java.util.List;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.AnswerSink;

/** Passes the answer of a runner to the entry router, over the connection on which the request arrived. */
final class RemoteAnswerSink implements AnswerSink {

    private final RequestIdentifier request;
    private final PeerConnection connection;
    private volatile long takenBytes;
    private volatile long sentBytes;
    private volatile boolean closed;

    RemoteAnswerSink(RequestIdentifier request, PeerConnection connection) {
        this.request = request;
        this.connection = connection;
    }

    void updateTakenBytes(long bytes) {
        takenBytes = Math.max(takenBytes, bytes);
    }

    /** Drops the rest of the answer, since nobody waits for it any more. */
    void close() {
        closed = true;
    }

    private void send(PeerMessage message) {
        if (!closed) {
            connection.send(message);
        }
    }

    @Override
    public void head(RunnerName runner, int status, List<HeaderField> headers) {
        send(new PeerMessage.AnswerHead(request, runner, status, headers));
    }

    @Override
    public void body(byte[] bytes) {
        sentBytes += bytes.length;
        send(new PeerMessage.AnswerBody(request, bytes));
    }

    @Override
    public void end(long bodyBytes) {
        send(new PeerMessage.AnswerEnd(request, bodyBytes));
    }

    @Override
    public boolean isReady() {
        return closed || sentBytes - takenBytes < AnswerOrigin.WINDOW_BYTES && connection.isWritable();
    }
}
