package org.mangowall.http;

import java.util.List;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** Encodes one request at a time, and decodes its response strictly. */
public final class StrictClientCodec
        extends CombinedChannelDuplexHandler<StrictClientCodec.ResponseDecoder, StrictClientCodec.RequestEncoder> {

    /** Creates a codec for one connection. */
    public StrictClientCodec() {
        ResponseDecoder decoder = new ResponseDecoder();
        init(decoder, new RequestEncoder(decoder));
    }

    /** Encodes requests and tells the decoder their method. */
    static final class RequestEncoder extends HttpRequestEncoder {

        private final ResponseDecoder decoder;

        RequestEncoder(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> output) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.isHeadRequest = HttpMethod.HEAD.equals(request.method());
            }
            super.encode(context, message, output);
        }
    }

    /** Decodes the response to the last request. */
    static final class ResponseDecoder extends StrictResponseDecoder {

        private boolean isHeadRequest;

        @Override
        protected boolean isResponseToHead() {
            return isHeadRequest;
        }
    }
}
