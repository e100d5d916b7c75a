package org.mangowall.edge.program;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.mangowall.edge.wire.HttpMessageCodec;

/** The synthetic runner of a warm-up: responds to streams with several events, to other requests with one body. */
final class WarmUpRunner extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final int EVENT_COUNT = 8;

    private final HttpMessageCodec messages;

    WarmUpRunner(HttpMessageCodec messages) {
        this.messages = messages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.uri().startsWith(JvmWarmUp.STREAM_PREFIX)) {
            stream(context, request);
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes("an answer"));
        messages.markExampleResponse(request, response);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        context.writeAndFlush(response);
    }

    private void stream(ChannelHandlerContext context, FullHttpRequest request) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        messages.markExampleResponse(request, head);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        HttpUtil.setTransferEncodingChunked(head, true);
        context.write(head);
        for (int number = 1; number <= EVENT_COUNT; number++) {
            context.writeAndFlush(new DefaultHttpContent(bytes("id: " + number + "\ndata: an event\n\n")));
        }
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
