package org.mangowall.router.runner;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.asynchttpclient.Request;
import org.asynchttpclient.channel.DefaultKeepAliveStrategy;
import org.asynchttpclient.channel.KeepAliveStrategy;

/**
 * Keeps the connection of a call only if its answer repeated the identifier of the request. A late copy of the answer
 * then bears it as well, so that it isn't taken for the answer to the next request. After a refusal the next request
 * may be the same one, so that its connection isn't kept.
 */
final class IdentifiedAnswerKeepAliveStrategy implements KeepAliveStrategy {

    static final String REQUEST_HEADER = "x-mangowall-request";

    private final KeepAliveStrategy protocol = new DefaultKeepAliveStrategy();

    @Override
    public boolean keepAlive(
            InetSocketAddress remoteAddress, Request request, HttpRequest sentRequest, HttpResponse response) {
        String answered = response.headers().get(REQUEST_HEADER);
        return answered != null
                && answered.equals(request.getHeaders().get(REQUEST_HEADER))
                && !RunnerCall.isRefusal(response.status().code(), response.headers())
                && protocol.keepAlive(remoteAddress, request, sentRequest, response);
    }
}
