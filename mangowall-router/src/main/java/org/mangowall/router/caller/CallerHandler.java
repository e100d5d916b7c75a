package org.mangowall.router.caller;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Supplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.IdleStateEvent;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.ComponentLog;

/** Serves one connection of a caller: one request at a time, pipelined requests wait in a queue. */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final ComponentLog LOG = ComponentLog.of("entry");
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;
    private static final String JSON = "application/json";
    private static final String NO_SERVICE = "none";

    private final EntryRequestHandler requestHandler;
    private final CallerDocuments documents;
    private final Supplier<LifecycleState> state;
    private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
    private EntryRequest currentRequest;
    private boolean busy;
    private boolean closing;

    CallerHandler(EntryRequestHandler requestHandler, CallerDocuments documents, Supplier<LifecycleState> state) {
        this.requestHandler = requestHandler;
        this.documents = documents;
        this.state = state;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (closing) {
            return;
        }
        if (busy) {
            pipelined.add(request.retain());
            context.channel().config().setAutoRead(pipelined.size() < MAXIMUM_PIPELINED_REQUESTS);
            return;
        }
        serve(context, request);
    }

    private void serve(ChannelHandlerContext context, FullHttpRequest request) {
        busy = true;
        CallerExchange exchange = new CallerExchange(context.channel(), request, ended -> endAnswer(context, ended));
        if (state.get() == LifecycleState.DRAINING) {
            exchange.closeAfterAnswer();
        }
        if (request.decoderResult().isFailure()) {
            exchange.closeAfterAnswer();
            refuse(exchange, decoderProblem(request.decoderResult().cause()));
            return;
        }
        try {
            dispatch(request, exchange);
        } catch (MangowallException failure) {
            refuse(exchange, Problem.of(failure.failureCode(), failure.getMessage()));
        } catch (RuntimeException failure) {
            LOG.error(failure, "request failed before it was routed");
            refuse(exchange, Problem.of(FailureCode.INTERNAL, "the router failed"));
        }
    }

    private static Problem decoderProblem(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return Problem.of(FailureCode.HEADERS_TOO_LARGE, "the request line or the header fields are too long");
        }
        return Problem.of(FailureCode.MALFORMED_REQUEST, "this is not a request of HTTP/1.1");
    }

    private void refuse(CallerExchange exchange, Problem problem) {
        requestHandler
                .metrics()
                .requestEnded(
                        NO_SERVICE,
                        problem.code().outcome().text(),
                        problem.code().code());
        exchange.fail(problem);
    }

    private void dispatch(FullHttpRequest request, CallerExchange exchange) {
        switch (request.uri()) {
            case "/mangowall/entry-hosts" -> writeDocument(exchange, HttpResponseStatus.OK, documents.entryHosts());
            case "/mangowall/health" -> writeDocument(exchange, HttpResponseStatus.OK, documents.status("alive"));
            case "/mangowall/ready" -> writeReadiness(exchange);
            default -> admit(request, exchange);
        }
    }

    private static void writeDocument(CallerExchange exchange, HttpResponseStatus status, byte[] document) {
        exchange.writeDocument(status.code(), JSON, document, null);
    }

    private void writeReadiness(CallerExchange exchange) {
        boolean ready = state.get() == LifecycleState.SERVING;
        HttpResponseStatus status = ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        writeDocument(exchange, status, documents.status(ready ? "ready" : "not-ready"));
    }

    private void admit(FullHttpRequest request, CallerExchange exchange) {
        if (state.get() == LifecycleState.DRAINING) {
            throw new MangowallException(FailureCode.ROUTER_LEAVING, "the router is shutting down");
        }
        EntryRequest admitted = requestHandler.admit(request, exchange);
        // False if the request was refused during its admission.
        if (busy) {
            currentRequest = admitted;
        }
    }

    private void endAnswer(ChannelHandlerContext context, CallerExchange exchange) {
        busy = false;
        currentRequest = null;
        closing |= !exchange.isKeptAlive();
        if (!pipelined.isEmpty()) {
            context.executor().execute(() -> serveNext(context));
        }
    }

    private void serveNext(ChannelHandlerContext context) {
        if (busy || closing || !context.channel().isActive()) {
            return;
        }
        FullHttpRequest next = pipelined.poll();
        if (next == null) {
            return;
        }
        context.channel().config().setAutoRead(true);
        try {
            serve(context, next);
        } finally {
            next.release();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && !busy) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        if (currentRequest != null) {
            currentRequest.callerDisconnected();
            currentRequest = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        if (!(failure instanceof IOException) && !(failure instanceof PrematureChannelClosureException)) {
            LOG.error(failure, "caller connection failed");
        }
        context.close();
    }
}
