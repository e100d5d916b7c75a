package org.mangowall.edge.wire;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;

/** The format of the HTTP messages between callers, hosts and runners. */
public interface HttpMessageCodec {

    /**
     * Decodes the head of a caller's request.
     *
     * @throws org.mangowall.kernel.failure.MangowallException with {@code MALFORMED_REQUEST} if the head is invalid
     */
    CallerRequest readRequest(HttpRequest head);

    /** Creates the request head for a runner; the head of the caller's request is not modified. */
    HttpRequest requestForRunner(HttpRequest head, Dispatch dispatch);

    /** Decodes the head of a runner's response. */
    RunnerResponse readResponse(HttpResponse head);

    /**
     * Creates the request to a runner to stop a run, to copy its memory to another runner and to say where it lies.
     *
     * @param request the identifier of the run's request
     */
    FullHttpRequest moveRequest(String request, RunnerEntry source, RunnerEntry target);

    /** Decodes the response to the request to move a run. */
    MoveResponse readMoveResponse(RunnerEntry source, int status, byte[] body);

    /** Creates the request to the runner that made a copy to free it. */
    FullHttpRequest releaseRequest(RunCopy copy);

    /** Creates the head of a synthetic caller request with a prompt; the number makes its identifier unique. */
    HttpRequest exampleRequest(String hostName, String path, String key, int number);

    /** Adds to a synthetic response the headers that a runner's response to the request has. */
    void markExampleResponse(HttpRequest request, HttpResponse response);
}
