package org.mangowall.router;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How a router handles a peer that misbehaves, and connections that do not speak the peer protocol. */
class PeerPortTest {

    private static final PeerSettings SHORT_HEARTBEATS =
            new PeerSettings(Duration.ofSeconds(1), Duration.ofMillis(50), 3, Duration.ofMinutes(1), 16);

    private static final List<HeaderField> LENGTH_FOUR = List.of(new HeaderField("content-length", "4"));

    private static void answer(FakePeer.Connection connection, RequestIdentifier request, String body, long length)
            throws IOException {
        connection.send(new PeerMessage.AnswerHead(request, new RunnerName("register-1"), 200, LENGTH_FOUR));
        connection.send(new PeerMessage.AnswerBody(request, body.getBytes()));
        connection.send(new PeerMessage.AnswerEnd(request, length));
    }

    private static HttpResponse<String> post(FakePeer.Script script) throws Exception {
        try (FakePeer peer = new FakePeer(script);
                TestFleet fleet = new TestFleet(peer, SHORT_HEARTBEATS)) {
            return fleet.post(0, "/services/register/x", "body");
        }
    }

    @Test
    void theAnswerOfAHomeIsForwarded() throws Exception {
        HttpResponse<String> answer = post(connection -> {
            PeerMessage.ForwardRequest forward = connection.await(PeerMessage.ForwardRequest.class);
            answer(connection, forward.description().identifier(), "good", 4);
            connection.read();
        });
        assertEquals("good", answer.body());
    }

    @Test
    void aSilentHomeIsDetectedAndTheOutcomeIsUnknown() throws Exception {
        HttpResponse<String> answer = post(connection -> {
            connection.await(PeerMessage.ForwardRequest.class);
            connection.await(PeerMessage.Heartbeat.class);
            while (true) {
                connection.read();
            }
        });
        assertEquals(502, answer.statusCode());
        assertTrue(answer.body().contains("\"code\":\"home-lost\""), answer.body());
        assertEquals(
                "unknown", answer.headers().firstValue("x-mangowall-outcome").orElse(""));
    }

    @Test
    void aHomeThatClosesTheConnectionIsReportedAsLost() throws Exception {
        HttpResponse<String> answer = post(connection -> connection.await(PeerMessage.ForwardRequest.class));
        assertTrue(answer.body().contains("\"code\":\"home-lost\""), answer.body());
    }

    @Test
    void framesOfAnotherRequestOrConnectionAreDropped() throws Exception {
        HttpResponse<String> answer = post(connection -> {
            PeerMessage.ForwardRequest forward = connection.await(PeerMessage.ForwardRequest.class);
            RequestIdentifier identifier = forward.description().identifier();
            RequestIdentifier ofOtherRequest =
                    new RequestIdentifier(identifier.entry(), identifier.incarnation(), identifier.sequence() + 7);
            RequestIdentifier ofOtherIncarnation =
                    new RequestIdentifier(identifier.entry(), identifier.incarnation() - 1, identifier.sequence());
            answer(connection, ofOtherRequest, "evil", 4);
            answer(connection, ofOtherIncarnation, "evil", 4);
            connection.sendWithEpoch(
                    connection.epoch() - 1,
                    new PeerMessage.AnswerHead(identifier, new RunnerName("register-1"), 500, LENGTH_FOUR));
            answer(connection, identifier, "good", 4);
            connection.read();
        });
        assertEquals(200, answer.statusCode());
        assertEquals("good", answer.body());
    }

    @Test
    void aSmallAnswerOfTheWrongLengthBecomesAProblem() throws Exception {
        HttpResponse<String> answer = post(connection -> {
            PeerMessage.ForwardRequest forward = connection.await(PeerMessage.ForwardRequest.class);
            answer(connection, forward.description().identifier(), "one", 4);
            connection.read();
        });
        assertEquals(502, answer.statusCode());
        assertTrue(answer.body().contains("\"code\":\"runner-answer-invalid\""), answer.body());
        assertEquals(
                "unknown", answer.headers().firstValue("x-mangowall-outcome").orElse(""));
    }

    @Test
    void anAnswerWithAnInvalidHeaderFieldBecomesAProblem() throws Exception {
        HttpResponse<String> answer = post(connection -> {
            PeerMessage.ForwardRequest forward = connection.await(PeerMessage.ForwardRequest.class);
            List<HeaderField> malformed = List.of(new HeaderField("x-bad", "one\r\nx-injected: two"));
            connection.send(new PeerMessage.AnswerHead(
                    forward.description().identifier(), new RunnerName("register-1"), 200, malformed));
            connection.read();
        });
        assertEquals(502, answer.statusCode());
        assertTrue(answer.body().contains("\"code\":\"runner-answer-invalid\""), answer.body());
        assertTrue(answer.headers().firstValue("x-injected").isEmpty());
    }

    @Test
    void aLargeAnswerOfTheWrongLengthIsAborted() throws Exception {
        HeaderField length = new HeaderField("content-length", "100000");
        try (FakePeer peer = new FakePeer(connection -> {
                    PeerMessage.ForwardRequest forward = connection.await(PeerMessage.ForwardRequest.class);
                    RequestIdentifier request = forward.description().identifier();
                    connection.send(
                            new PeerMessage.AnswerHead(request, new RunnerName("register-1"), 200, List.of(length)));
                    connection.send(new PeerMessage.AnswerBody(request, "one".getBytes()));
                    connection.send(new PeerMessage.AnswerEnd(request, 100_000));
                    connection.read();
                });
                TestFleet fleet = new TestFleet(peer, SHORT_HEARTBEATS);
                RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
            String answer = caller.send(RawCaller.plain("POST", "/x", "")).readToEnd();
            assertTrue(answer.contains("content-length: 100000"), answer);
            assertTrue(answer.endsWith("\r\n\r\none"), answer);
        }
    }

    @Test
    void malformedFramesCloseOnlyTheirConnection() throws Exception {
        Random random = new Random(77);
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = TestFleet.of(2, TestFleet.inventory(1, plain.port()))) {
            for (int round = 0; round < 100; round++) {
                byte[] bytes = new byte[4 + random.nextInt(100)];
                random.nextBytes(bytes);
                bytes[0] = (byte) (round % 2 == 0 ? 0 : 0x7f);
                bytes[1] = 0;
                bytes[2] = 0;
                bytes[3] = (byte) Math.min(bytes.length - 4, 127);
                try (RawCaller client = new RawCaller(fleet.router(0).peerPort())) {
                    client.send(new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1));
                    client.endOutput();
                    client.readToEnd();
                } catch (IOException reset) {
                    // A connection that the router ends early may be reset.
                }
            }
            assertEquals(200, fleet.post(1, "/services/register/x", "after").statusCode());
        }
    }
}
