package org.mangowall.edge.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.MoveResponse;

/** The request to a runner to stop a run and to copy it to another runner. */
final class RunMove implements RunnerResponseListener {

    /** Callers abandon a stream after 2 s without an event. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final int MAX_RESPONSE_BYTES = 4_096;

    private final EdgeContext context;
    private final RunnerEntry source;
    private final RunnerEntry target;
    private final Consumer<MoveResponse> receiver;
    private final ByteBuf body = Unpooled.buffer();
    private RunnerConnection connection;
    private int status;
    private boolean isEnded;

    /**
     * Creates a move that isn't started.
     *
     * @param receiver gets the response, or {@link MoveResponse#REFUSED} if there is none in time
     */
    RunMove(EdgeContext context, RunnerEntry source, RunnerEntry target, Consumer<MoveResponse> receiver) {
        this.context = context;
        this.source = source;
        this.target = target;
        this.receiver = receiver;
    }

    RunnerEntry target() {
        return target;
    }

    /** Sends the request for the run of a caller's request. */
    void start(RunnerConnections runners, String request) {
        context.loop().schedule(this::timedOut, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        runners.acquireNew(source, acquired -> {
            if (!(acquired instanceof AcquireResult.Ready ready)) {
                end(MoveResponse.REFUSED);
            } else if (isEnded) {
                ready.connection().release();
            } else {
                connection = ready.connection();
                FullHttpRequest call = context.messages().moveRequest(request, source, target);
                connection.call(call, request, this);
                call.release();
            }
        });
    }

    private void timedOut() {
        if (!isEnded && connection != null) {
            connection.cancel();
        }
        end(MoveResponse.REFUSED);
    }

    @Override
    public void headReceived(HttpResponse head, RunnerResponse response) {
        status = head.status().code();
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        if (body.readableBytes() + bytes.readableBytes() <= MAX_RESPONSE_BYTES) {
            body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        }
    }

    @Override
    public void responseCompleted() {
        end(context.messages().readMoveResponse(source, status, ByteBufUtil.getBytes(body)));
    }

    @Override
    public void connectionLost(String reason) {
        end(MoveResponse.REFUSED);
    }

    private void end(MoveResponse response) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        body.release();
        receiver.accept(response);
    }
}
