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

/** One call and the ways to answer it; used on the event loop of its server only. */
public final class HttpCall {

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final HttpHeaders headers;
    private final byte[] body;

    HttpCall(Channel channel, String method, String uri, HttpHeaders headers, byte[] body) {
        this.channel = channel;
        this.method = method;
        this.target = new QueryStringDecoder(uri);
        this.headers = headers;
        this.body = body;
    }

    /** The method in capitals. */
    public String method() {
        return method;
    }

    /** The path without the query. */
    public String path() {
        return target.path();
    }

    /** The path with the query, as it was sent. */
    public String target() {
        return target.uri();
    }

    /** The first value of a query parameter. */
    public Optional<String> parameter(String name) {
        List<String> values = target.parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.get(0));
    }

    /** The first value of a header field. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** The whole body; not copied. */
    public byte[] body() {
        return body;
    }

    /** The whole body as text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Whether the caller is still there. */
    public boolean isOpen() {
        return channel.isActive();
    }

    boolean isOn(Channel connection) {
        return channel == connection;
    }

    /** Runs the action when the connection closes, or at once when it has. */
    public void whenGone(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }

    /** Sends a whole answer. */
    public void answer(int status, Map<String, String> fields, byte[] content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        addFields(response, fields);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        channel.writeAndFlush(response);
    }

    /** Sends a whole answer of plain text. */
    public void answerText(int status, String text) {
        answer(status, Map.of("content-type", "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a whole answer of JSON. */
    public void answerJson(int status, Object value) {
        answer(status, Map.of("content-type", "application/json"), Json.write(value));
    }

    /** Begins an answer whose body comes in pieces. */
    public void beginStream(int status, Map<String, String> fields) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        addFields(response, fields);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    /** Sends a piece of a body. */
    public void writePiece(byte[] piece) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
    }

    /** Ends an answer that came in pieces. */
    public void endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection without an answer, or in the middle of one. */
    public void abort() {
        channel.close();
    }

    private static void addFields(HttpResponse response, Map<String, String> fields) {
        fields.forEach((name, value) -> response.headers().set(name, value));
    }
}
