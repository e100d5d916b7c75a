package org.mangowall.edge.wire;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.RunnerResponse;

/** The names and shapes of the HTTP messages between callers, hosts and runners. */
public interface HttpMessageCodec {

    /**
     * Decodes the head of a caller's request.
     *
     * @throws org.mangowall.kernel.failure.MangowallException with {@code REQUEST_MALFORMED} when it can't be read
     */
    CallerRequest readRequest(HttpRequest head);

    /** Makes the head that a runner gets; the head of the caller's request stays as it is. */
    HttpRequest requestForRunner(HttpRequest head, Dispatch dispatch);

    /** Decodes the head of a runner's answer. */
    RunnerResponse readAnswer(HttpResponse head);

    /** Makes the head of a caller's request with a prompt, numbered so that each has another identifier. */
    HttpRequest exampleRequest(String hostName, String path, String key, int number);

    /** Gives an answer what a runner's answer to a request has. */
    void markExampleAnswer(HttpRequest request, HttpResponse answer);
}
