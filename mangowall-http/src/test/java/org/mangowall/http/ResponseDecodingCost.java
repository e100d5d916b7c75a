package org.mangowall.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/** Measures the processor time that decoding a response takes, with the library's decoder and with the strict one. */
final class ResponseDecodingCost {

    private static final int ROUNDS = 5;
    private static final int RESPONSES = 200_000;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Runner-Stamp: 0123456789abcdef0123456789abcdef\r\n"
                    + "Content-Type: application/json\r\nX-Load: 3,120,4\r\nKeep-Alive: timeout=5\r\n";

    private ResponseDecodingCost() {}

    /** Prints nanoseconds for each response, of the fastest of some rounds. */
    public static void main(String[] arguments) {
        String body = "b".repeat(800);
        List<String> responses = List.of(
                HEAD + "Content-Length: 800\r\n\r\n" + body,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n" + ("50\r\n" + "e".repeat(80) + "\r\n").repeat(10)
                        + "0\r\n\r\n");
        for (String response : responses) {
            byte[] bytes = response.getBytes(StandardCharsets.US_ASCII);
            System.out.printf(
                    "%d bytes: library %d ns, strict %d ns%n",
                    bytes.length, fastest(HttpResponseDecoder::new, bytes), fastest(StrictResponseDecoder::new, bytes));
        }
    }

    private static long fastest(Supplier<HttpResponseDecoder> decoder, byte[] response) {
        long fastest = Long.MAX_VALUE;
        EmbeddedChannel channel = new EmbeddedChannel(decoder.get());
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (int number = 0; number < RESPONSES; number++) {
                ByteBuf part = Unpooled.directBuffer(response.length).writeBytes(response);
                channel.writeInbound(part);
                for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
                    ReferenceCountUtil.release(message);
                }
            }
            fastest = Math.min(fastest, (System.nanoTime() - start) / RESPONSES);
        }
        channel.finishAndReleaseAll();
        return fastest;
    }
}
