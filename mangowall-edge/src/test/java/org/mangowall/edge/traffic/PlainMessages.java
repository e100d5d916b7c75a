package org.mangowall.edge.traffic;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.PromptDescription;
import org.mangowall.edge.model.RunCopy;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.RunnerResponse;
import org.mangowall.edge.wire.Dispatch;
import org.mangowall.edge.wire.HttpMessageCodec;
import org.mangowall.edge.wire.MoveResponse;

/** Requests and responses without any headers of the platform; a request with a key has a prompt. */
final class PlainMessages implements HttpMessageCodec {

    private static final int PROMPT_TOKENS = 100;
    private static final int OUTPUT_TOKENS = 10;

    @Override
    public RunnerResponse readResponse(HttpResponse head) {
        return new RunnerResponse(
                head.status().code(),
                Optional.empty(),
                true,
                false,
                false,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                false,
                false);
    }

    @Override
    public CallerRequest readRequest(HttpRequest head) {
        Optional<String> key = Optional.ofNullable(head.headers().get(HttpHeaderNames.AUTHORIZATION));
        return new CallerRequest(
                "request",
                head.headers().get(HttpHeaderNames.HOST),
                head.uri(),
                Optional.empty(),
                key,
                key.map(any -> new PromptDescription(PROMPT_TOKENS, OUTPUT_TOKENS, List.of())),
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public HttpRequest requestForRunner(HttpRequest head, Dispatch dispatch) {
        return head;
    }

    @Override
    public FullHttpRequest moveRequest(String request, RunnerEntry source, RunnerEntry target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MoveResponse readMoveResponse(RunnerEntry source, int status, byte[] body) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FullHttpRequest releaseRequest(RunCopy copy) {
        throw new UnsupportedOperationException();
    }

    @Override
    public HttpRequest exampleRequest(String hostName, String path, String key, int number) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void markExampleResponse(HttpRequest request, HttpResponse response) {
        throw new UnsupportedOperationException();
    }
}
