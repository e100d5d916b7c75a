package org.mangowall.router;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Valid, invalid and malformed requests on the caller port, compared with approved transcripts. */
class CallerPortTest {

    private static final String HEAD = "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\n";

    private static Map<String, String> requestsOfOneConnection() {
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("a plain call", RawCaller.plain("POST", "/entries?a=%20b", "three lengths"));
        requests.put("a call with HEAD", RawCaller.plain("HEAD", "/entries", ""));
        requests.put("malformed JSON", RawCaller.chat("{\"model\":\"writer\",\"messages\":[}"));
        requests.put("JSON that is not an object", RawCaller.chat("[1,2]"));
        requests.put("two JSON objects", RawCaller.chat("{\"model\":\"writer\"}{}"));
        requests.put("no model", RawCaller.chat("{\"messages\":[]}"));
        requests.put("an unknown model", RawCaller.chat("{\"model\":\"painter\"}"));
        requests.put("a plain service as model", RawCaller.chat("{\"model\":\"register\"}"));
        requests.put("no workspace", "GET /services/register/x HTTP/1.1\r\nhost: h\r\n\r\n");
        requests.put(
                "an unknown workspace", "GET /services/register/x HTTP/1.1\r\nhost: h\r\nx-workspace: other\r\n\r\n");
        requests.put(
                "an invalid workspace name",
                "GET /services/register/x HTTP/1.1\r\nhost: h\r\nx-workspace: A B\r\n\r\n");
        requests.put("an unknown service", "GET /services/none/x HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\n\r\n");
        requests.put("an unknown path", "GET /none HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\n\r\n");
        requests.put(
                "a bad x-repeatable",
                HEAD + "x-repeatable: perhaps\r\ncontent-length: 18\r\n\r\n{\"model\":\"writer\"}");
        requests.put("a bad x-cost-hint", HEAD + "x-cost-hint: -1\r\ncontent-length: 18\r\n\r\n{\"model\":\"writer\"}");
        requests.put(
                "a call whose idempotency key cannot be claimed",
                "POST /services/register/x HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\nidempotency-key: k1\r\n"
                        + "content-length: 0\r\n\r\n");
        requests.put("health", "GET /mangowall/health HTTP/1.1\r\nhost: h\r\n\r\n");
        requests.put("readiness", "GET /mangowall/ready HTTP/1.1\r\nhost: h\r\n\r\n");
        requests.put("entry hosts", "GET /mangowall/entry-hosts HTTP/1.1\r\nhost: h\r\n\r\n");
        return requests;
    }

    private static Map<String, String> unreadableRequests() {
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("a huge header", HEAD + "x-large: " + "a".repeat(20_000) + "\r\n\r\n");
        requests.put("a huge request line", "GET /" + "a".repeat(9_000) + " HTTP/1.1\r\n\r\n");
        requests.put("a huge body", HEAD + "content-length: 1048577\r\n\r\n");
        requests.put("bytes that are not HTTP", "\u0016\u0003\u0001\u0002 hello\r\n\r\n");
        requests.put("a broken chunk", HEAD + "transfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n");
        return requests;
    }

    private static String normalize(String answer) {
        return answer.replaceAll("router-1~[0-9a-z]+~", "router-1~incarnation~")
                .replaceAll("\"port\":\\d+", "\"port\":0")
                .replace("\r", "");
    }

    private static TestFleet fleet(FakeRunner plain) throws IOException, InterruptedException {
        return TestFleet.of(1, TestFleet.inventory(1, plain.port()));
    }

    @Test
    void aWholeSessionOnOneConnection() throws Exception {
        StringBuilder transcript = new StringBuilder();
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain);
                RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
            for (Map.Entry<String, String> request : requestsOfOneConnection().entrySet()) {
                boolean bodiless = request.getValue().startsWith("HEAD");
                caller.send(request.getValue());
                String answer = bodiless ? caller.readUntil("\r\n\r\n") : caller.readAnswer();
                transcript
                        .append("== ")
                        .append(request.getKey())
                        .append('\n')
                        .append(normalize(answer))
                        .append("\n\n");
            }
            transcript.append("runner ran ").append(plain.calls().size()).append(" calls\n");
        }
        Approvals.verify(transcript.toString());
    }

    @Test
    void unreadableRequestsEndTheirConnectionOnly() throws Exception {
        StringBuilder transcript = new StringBuilder();
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain)) {
            for (Map.Entry<String, String> request : unreadableRequests().entrySet()) {
                try (RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
                    String answer = caller.send(request.getValue()).readToEnd();
                    transcript
                            .append("== ")
                            .append(request.getKey())
                            .append('\n')
                            .append(normalize(answer))
                            .append("\n\n");
                }
            }
            assertEquals(200, fleet.post(0, "/services/register/after", "all").statusCode());
            assertEquals(1, plain.calls().size());
        }
        Approvals.verify(transcript.toString());
    }

    @Test
    void anIncompleteRequestIsNotRun() throws Exception {
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain)) {
            try (RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
                caller.send("POST /services/register/x HTTP/1.1\r\nhost: h\r\nx-workspace: school\r\n"
                        + "content-length: 10\r\n\r\nhalf");
                caller.endOutput();
                assertEquals("", caller.readToEnd());
            }
            assertEquals(200, fleet.post(0, "/services/register/after", "all").statusCode());
            assertEquals(1, plain.calls().size());
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain);
                RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
            StringBuilder all = new StringBuilder();
            for (int number = 0; number < 50; number++) {
                all.append(RawCaller.plain("POST", "/p" + number, "body" + number));
            }
            caller.send(all.toString());
            for (int number = 0; number < 50; number++) {
                String answer = caller.readAnswer();
                assertEquals("/p" + number + " body" + number, answer.substring(answer.indexOf("\r\n\r\n") + 4));
            }
        }
    }

    @Test
    void requestsAfterConnectionCloseAreNotRun() throws Exception {
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain);
                RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
            String last = RawCaller.plain("POST", "/last", "one").replace("host: h", "connection: close");
            String answer =
                    caller.send(last + RawCaller.plain("POST", "/more", "two")).readToEnd();
            assertTrue(answer.endsWith("/last one"), answer);
            assertEquals(1, plain.calls().size());
        }
    }

    @Test
    void requestsWithRandomBytesLeaveTheRouterServing() throws Exception {
        Random random = new Random(20261203);
        try (FakeRunner plain = FakeRunner.echo();
                TestFleet fleet = fleet(plain)) {
            String good = RawCaller.plain("POST", "/x", "body");
            for (int round = 0; round < 300; round++) {
                char[] bytes = good.toCharArray();
                for (int change = random.nextInt(6); change >= 0; change--) {
                    bytes[random.nextInt(bytes.length)] = (char) random.nextInt(256);
                }
                try (RawCaller caller = new RawCaller(fleet.router(0).callerPort())) {
                    caller.send(new String(bytes));
                    caller.endOutput();
                    caller.readToEnd();
                } catch (IOException reset) {
                    // A connection that the router ends early may be reset.
                }
            }
            assertEquals(200, fleet.post(0, "/services/register/after", "all").statusCode());
        }
    }
}
