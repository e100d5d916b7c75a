package org.mangowall.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangowall.kernel.http.ResponsePart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against responses that count as such though they don't follow the grammar. */
class StrictResponseDecoderTest {

    private static final List<String> SOUND = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Stamp: a b\t\u00e9\r\nEmpty:\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
                    + "3;n=v;q=\"a\\\"b\"\r\nwho\r\n02\r\nle\r\n0\r\nX-Sum: 1\r\n\r\n",
            "HTTP/1.1 200 \r\nConnection: close\r\n\r\nwhole",
            "HTTP/1.0 404 Not Found\r\nContent-Length:5\r\n\r\nwhole",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + "HTTP/1.1 500 Failed\r\nContent-Length: 005\r\n\r\nwhole",
            "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
    private static final List<String> TOKENS = List.of(
            "Content-Length: 3\r\n",
            "Content Length: 3\r\n",
            "Content-Length : 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked, chunked\r\n",
            "Transfer\tEncoding: chunked\r\n",
            " folded\r\n",
            "HTTP/1.1 ",
            "HTTP/2 ",
            "http/1.1 ",
            "\r\n",
            "\n",
            "\r",
            "\0",
            " ",
            "\t",
            ":",
            ";",
            "0",
            "-1",
            "+",
            "0x",
            "600",
            "99",
            "101",
            "1\r\nx\r\n",
            "0\r\n\r\n");

    /** What was decoded of the first final response. */
    private record Decoded(boolean isComplete, Optional<Throwable> failure, String content, int heads) {}

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Decodes bytes that arrive in parts, after which the connection ends. */
    private static Decoded decode(byte[] bytes, int partBytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder());
        for (int start = 0; start < bytes.length; start += partBytes) {
            int end = Math.min(bytes.length, start + partBytes);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, start, end - start));
        }
        channel.finish();
        StringBuilder content = new StringBuilder();
        int heads = 0;
        boolean isInterim = false;
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            try {
                HttpObject part = (HttpObject) message;
                if (part.decoderResult().isFailure()) {
                    return new Decoded(false, Optional.of(part.decoderResult().cause()), content.toString(), heads);
                }
                if (part instanceof HttpResponse head) {
                    isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                    heads += 1;
                }
                if (part instanceof HttpContent data) {
                    content.append(data.content().toString(StandardCharsets.ISO_8859_1));
                }
                if (part instanceof LastHttpContent && !isInterim) {
                    return new Decoded(true, Optional.empty(), content.toString(), heads);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        return new Decoded(false, Optional.empty(), content.toString(), heads);
    }

    private static void assertVerdict(byte[] bytes, int partBytes) {
        Optional<String> expected = GrammarOracle.content(bytes);
        Decoded decoded = decode(bytes, partBytes);
        Optional<String> actual = decoded.isComplete() ? Optional.of(decoded.content()) : Optional.empty();
        assertEquals(
                expected,
                actual,
                () -> "parts of " + partBytes + ": "
                        + new String(bytes, StandardCharsets.ISO_8859_1)
                                .replace("\r", "\\r")
                                .replace("\n", "\\n"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1_000})
    void soundResponsesAreDecoded(int partBytes) {
        for (String sound : SOUND) {
            Decoded decoded = decode(bytes(sound), partBytes);
            assertTrue(decoded.isComplete(), sound + ": " + decoded.failure());
            assertVerdict(bytes(sound), partBytes);
        }
    }

    /** Each byte of each sound response is replaced by each other value. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6})
    void eachChangedByteGetsTheVerdictOfTheGrammar(int number) {
        byte[] sound = bytes(SOUND.get(number));
        for (int place = 0; place < sound.length; place++) {
            for (int value = 0; value < 256; value++) {
                byte[] changed = sound.clone();
                changed[place] = (byte) value;
                assertVerdict(changed, sound.length);
            }
        }
    }

    /** At each place of each sound response, each token is inserted, and bytes are left out. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6})
    void eachInsertedTokenGetsTheVerdictOfTheGrammar(int number) {
        String sound = SOUND.get(number);
        for (int place = 0; place <= sound.length(); place++) {
            String before = sound.substring(0, place);
            String behind = sound.substring(place);
            for (String token : TOKENS) {
                assertVerdict(bytes(before + token + behind), 1_000);
                assertVerdict(bytes(before + token + behind.substring(Math.min(behind.length(), token.length()))), 3);
            }
            for (int left = 1; left <= Math.min(4, behind.length()); left++) {
                assertVerdict(bytes(before + behind.substring(left)), 1_000);
            }
        }
    }

    @Provide
    Arbitrary<String> soundResponses() {
        return Arbitraries.of(SOUND);
    }

    /** Several changes at once, in parts of any size. */
    @Property(seed = "57", tries = 20_000)
    void severalChangesGetTheVerdictOfTheGrammar(
            @ForAll("soundResponses") String sound,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 60) int partBytes) {
        Random random = new Random(seed);
        StringBuilder changed = new StringBuilder(sound);
        for (int change = random.nextInt(4); change >= 0; change--) {
            int place = random.nextInt(changed.length());
            switch (random.nextInt(4)) {
                case 0 -> changed.setCharAt(place, (char) random.nextInt(256));
                case 1 -> changed.insert(place, TOKENS.get(random.nextInt(TOKENS.size())));
                case 2 -> changed.deleteCharAt(place);
                default -> changed.insert(place, changed.substring(place, random.nextInt(place, changed.length())));
            }
        }
        assertVerdict(bytes(changed.toString()), partBytes);
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "VERSION, `HTTP/2.0 200 OK|`",
                "VERSION, `http/1.1 200 OK|`",
                "VERSION, ` HTTP/1.1 200 OK|`",
                "STATUS_CODE, `HTTP/1.1 000 OK|`",
                "STATUS_CODE, `HTTP/1.1 0200 OK|`",
                "STATUS_CODE, `HTTP/1.1 +200 OK|`",
                "STATUS_CODE, `HTTP/1.1 20 OK|`",
                "STATUS_CODE, `HTTP/1.1 600 OK|`",
                "STATUS_CODE, `HTTP/1.1 101 Switching Protocols|`",
                "STATUS_CODE, `HTTP/1.1 200|`",
                "REASON_PHRASE, `HTTP/1.1 200 O\u0001K|`",
                "FIELD_NAME, `HTTP/1.1 200 OK|Content Length: 5|`",
                "FIELD_NAME, `HTTP/1.1 200 OK|Content-Length : 5|`",
                "FIELD_NAME, `HTTP/1.1 200 OK|X-\u0001: 5|`",
                "FIELD_NAME, `HTTP/1.1 200 OK|no colon|`",
                "FIELD_NAME, `HTTP/1.1 200 OK|X: 5| folded|`",
                "FIELD_VALUE, `HTTP/1.1 200 OK|X: \u0000|`",
                "FRAMING, `HTTP/1.1 200 OK|Content-Length: 5|Content-Length: 5|`",
                "FRAMING, `HTTP/1.1 200 OK|Content-Length: +5|`",
                "FRAMING, `HTTP/1.1 200 OK|Content-Length: 5|Transfer-Encoding: chunked|`",
                "FRAMING, `HTTP/1.1 200 OK|Transfer-Encoding: chunked, chunked|`",
                "FRAMING, `HTTP/1.0 200 OK|Transfer-Encoding: chunked||`",
                "FRAMING, `HTTP/1.1 204 OK|Transfer-Encoding: chunked||`",
                "CHUNK_SIZE, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||1-|`",
                "CHUNK_SIZE, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||fffffffff|`",
                "CHUNK_SIZE, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||1 0|`",
                "CHUNK_EXTENSION, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||1;a=|`",
                "CHUNK_END, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||1|xx`",
                "TRAILER_NAME, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|X Y: 5|`",
                "TRAILER_NAME, `HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|Content-Length: 5|`"
            })
    void theInvalidPartIsNamed(ResponsePart part, String lines) {
        Decoded decoded = decode(bytes(lines.replace("|", "\r\n")), 1_000);
        InvalidResponseException failure = assertInstanceOf(
                InvalidResponseException.class, decoded.failure().orElseThrow());
        assertEquals(part, failure.part());
        assertTrue(failure.getMessage().startsWith(part.label() + ": \""), failure.getMessage());
        assertTrue(failure.getMessage().chars().allMatch(next -> next >= ' ' && next < 0x7F));
        assertTrue(failure.getMessage().length() <= 250);
    }

    /** What was valid is passed on, as a stream's events are before it breaks off. */
    @Test
    void contentBeforeAnInvalidChunkIsPassedOn() {
        Decoded decoded =
                decode(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\nzz\r\n"), 1_000);
        assertEquals("whole", decoded.content());
        assertEquals(1, decoded.heads());
        assertTrue(decoded.failure().isPresent());
    }

    @Test
    void aResponseToHeadHasNoContent() {
        List<Object> messages = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder() {
            @Override
            protected boolean isResponseToHead() {
                return true;
            }
        });
        channel.writeInbound(Unpooled.wrappedBuffer(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")));
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            messages.add(message);
        }
        assertInstanceOf(LastHttpContent.class, messages.getLast());
        assertTrue(messages.stream()
                .allMatch(message -> ((HttpObject) message).decoderResult().isSuccess()));
        channel.finishAndReleaseAll();
    }
}
