package org.mangowall.router.home;

import java.util.List;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.PeerMessage;
import org.mangowall.router.peer.PeerConnection;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.AnswerSink;

/** Passes an answer to the entry router of its request, on the connection on which the request came. */
final class RemoteAnswer implements AnswerSink {

    private final RequestIdentifier request;
    private final PeerConnection connection;
    private volatile long takenBytes;
    private volatile long sentBytes;
    private volatile boolean closed;

    RemoteAnswer(RequestIdentifier request, PeerConnection connection) {
        this.request = request;
        this.connection = connection;
    }

    void taken(long bytes) {
        takenBytes = Math.max(takenBytes, bytes);
    }

    /** Nobody waits for the answer any more; what still comes of it is dropped. */
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
