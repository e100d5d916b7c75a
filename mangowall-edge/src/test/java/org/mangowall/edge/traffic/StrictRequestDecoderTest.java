package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a limit of request heads that stays as it was when the connection was opened. */
class StrictRequestDecoderTest {

    private static final int OLD_LIMIT = 200;
    private static final int NEW_LIMIT = 400;

    private int limit = OLD_LIMIT;
    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(() -> limit));

    @AfterEach
    void end() {
        channel.finishAndReleaseAll();
    }

    private static String request(int headerBytes) {
        String name = "X-Long: ";
        return "POST / HTTP/1.1\r\n" + name + "x".repeat(headerBytes - name.length() - "Content-Length: 2".length())
                + "\r\nContent-Length: 2\r\n\r\n";
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Whether the next request is accepted; its parts are read. */
    private boolean isAccepted() {
        boolean isAccepted = true;
        int heads = 0;
        for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
            heads += part instanceof HttpRequest ? 1 : 0;
            if (part.decoderResult().isFailure()) {
                assertInstanceOf(
                        TooLongFrameException.class, part.decoderResult().cause());
                isAccepted = false;
            }
        }
        assertEquals(1, heads);
        return isAccepted;
    }

    @Test
    void aRaisedLimitIsInForceOnAnOpenConnection() {
        receive(request(OLD_LIMIT) + "ab");
        assertTrue(isAccepted());
        limit = NEW_LIMIT;
        receive(request(NEW_LIMIT) + "ab");
        assertTrue(isAccepted());
        receive(request(NEW_LIMIT + 1) + "ab");
        assertFalse(isAccepted());
    }

    @Test
    void aLoweredLimitIsInForceOnAnOpenConnection() {
        limit = NEW_LIMIT;
        receive(request(NEW_LIMIT) + "ab");
        assertTrue(isAccepted());
        limit = OLD_LIMIT;
        receive(request(OLD_LIMIT + 1) + "ab");
        assertFalse(isAccepted());
    }

    @Test
    void aLimitThatIsRaisedWhileAHeadArrivesHoldsForThatHead() {
        String whole = request(NEW_LIMIT) + "ab";
        receive(whole.substring(0, OLD_LIMIT / 2));
        limit = NEW_LIMIT;
        receive(whole.substring(OLD_LIMIT / 2));
        assertTrue(isAccepted());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 50, 1_000})
    void theSameHeadsAreAcceptedAsByTheLibrary(int partBytes) {
        for (int bytes = OLD_LIMIT - 3; bytes <= OLD_LIMIT + 3; bytes++) {
            EmbeddedChannel library = new EmbeddedChannel(new HttpRequestDecoder(OLD_LIMIT, OLD_LIMIT, OLD_LIMIT));
            EmbeddedChannel strict = new EmbeddedChannel(new StrictRequestDecoder(() -> OLD_LIMIT));
            String whole = request(bytes);
            for (int start = 0; start < whole.length(); start += partBytes) {
                String part = whole.substring(start, Math.min(whole.length(), start + partBytes));
                library.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
                strict.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
            }
            assertEquals(isSuccess(library), isSuccess(strict), bytes + " bytes in parts of " + partBytes);
        }
    }

    private static boolean isSuccess(EmbeddedChannel decoder) {
        HttpObject head = decoder.readInbound();
        decoder.finishAndReleaseAll();
        return head.decoderResult().isSuccess();
    }

    /** A line without an end must not be kept beyond the limit. */
    @Test
    void anEndlessLineIsRejectedAtTheLimit() {
        receive("GET /" + "x".repeat(OLD_LIMIT - 6));
        assertNull(channel.readInbound());
        receive("xx");
        assertFalse(isAccepted());
        receive("x".repeat(OLD_LIMIT));
        assertNull(channel.readInbound());
    }
}
