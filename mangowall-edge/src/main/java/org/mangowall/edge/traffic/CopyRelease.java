package org.mangowall.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;

/** The request to a runner to free a copy that isn't used; one that fails is freed by the engine later. */
final class CopyRelease implements RunnerResponseListener {

    private final EdgeContext context;
    private final RunCopy copy;

    CopyRelease(EdgeContext context, RunCopy copy) {
        this.context = context;
        this.copy = copy;
    }

    void start(RunnerConnections runners, RunnerEntry source) {
        runners.acquireNew(source, acquired -> {
            if (acquired instanceof AcquireResult.Ready ready) {
                FullHttpRequest call = context.messages().releaseRequest(copy);
                ready.connection().call(call, "", this);
                call.release();
            } else {
                logFailure("no connection");
            }
        });
    }

    private void logFailure(String reason) {
        context.log().write("copy-not-released", line -> {
            line.writeStringField("handle", copy.handle());
            line.writeStringField("reason", reason);
        });
    }

    @Override
    public void headReceived(HttpResponse head, RunnerResponse response) {
        // Nothing depends on the status: the engine frees the copy by itself after some seconds.
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        // The body carries nothing that is needed.
    }

    @Override
    public void responseCompleted() {
        // The connection is back in its pool.
    }

    @Override
    public void connectionLost(String reason) {
        logFailure(reason);
    }
}
