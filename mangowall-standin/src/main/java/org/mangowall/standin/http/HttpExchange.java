package org.mangowall.standin.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/** An HTTP request and the means to respond to it; confined to the event loop of the server. */
public final class HttpExchange {

    /** Responses repeat the identifier of their request. */
    private static final String REQUEST_HEADER = "x-mangowall-request";

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final HttpHeaders headers;
    private final byte[] body;

    HttpExchange(Channel channel, String method, String uri, HttpHeaders headers, byte[] body) {
        this.channel = channel;
        this.method = method;
        this.target = new QueryStringDecoder(uri);
        this.headers = headers;
        this.body = body;
    }

    /** Returns the HTTP method in upper case. */
    public String method() {
        return method;
    }

    /** Returns the path without the query. */
    public String path() {
        return target.path();
    }

    /** Returns the request target as sent, with the query. */
    public String target() {
        return target.uri();
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> queryParameter(String name) {
        List<String> values = target.parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Returns the first value of a header field. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the request body without copying it. */
    public byte[] body() {
        return body;
    }

    /** Returns the request body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether the connection to the caller is still open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    boolean usesConnection(Channel connection) {
        return channel == connection;
    }

    /** Runs the action when the connection closes, or immediately if it is closed already. */
    public void onClose(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }

    /** Sends a complete response. */
    public void respond(int status, Map<String, String> headerFields, byte[] content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        setHeaders(response, headerFields);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        channel.writeAndFlush(response);
    }

    /** Sends a complete response with a plain-text body. */
    public void respondText(int status, String text) {
        respond(status, Map.of("content-type", "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a complete response with a JSON body. */
    public void respondJson(int status, Object value) {
        respond(status, Map.of("content-type", "application/json"), Json.write(value));
    }

    /** Starts a response with a chunked body. */
    public void startStream(int status, Map<String, String> headerFields) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        setHeaders(response, headerFields);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    /** Sends a chunk of the body. */
    public void writeChunk(byte[] chunk) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)));
    }

    /** Completes a chunked response. */
    public void endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection before or during the response. */
    public void abort() {
        channel.close();
    }

    private void setHeaders(HttpResponse response, Map<String, String> headerFields) {
        header(REQUEST_HEADER).ifPresent(identifier -> response.headers().set(REQUEST_HEADER, identifier));
        headerFields.forEach((name, value) -> response.headers().set(name, value));
    }
}
