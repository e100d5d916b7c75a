package org.mangowall.standin.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.standin.HttpProbe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformStandInTest {

    private static final String OBJECT = "/v1/objects/configuration/inventory";

    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private PlatformStandIn platform;
    private HttpProbe probe;

    @BeforeEach
    void startPlatform() {
        PlatformStandInSettings settings =
                new PlatformStandInSettings("127.0.0.1", 0, 5, 3, 1024, Duration.ofSeconds(2), Duration.ofSeconds(10));
        platform = PlatformStandIn.start(settings, eventLoops.next(), clock);
        probe = new HttpProbe(platform.port());
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void updatesRequireTheExpectedVersion() throws Exception {
        assertEquals(404, probe.call("GET", OBJECT, "").statusCode());
        assertEquals("1", version(write("first", 0)));
        HttpResponse<String> conflict = write("second", 0);
        assertEquals(409, conflict.statusCode());
        assertEquals("1", version(conflict));
        assertEquals("first", probe.call("GET", OBJECT, "").body());
    }

    @Test
    void watchReturnsTheNextVersion() throws Exception {
        write("first", 0);
        CompletableFuture<HttpResponse<String>> watch = probe.begin("GET", OBJECT + "?after=1&wait-millis=30000", "");
        write("second", 1);
        HttpResponse<String> response = watch.get();
        assertEquals("second", response.body());
        assertEquals("2", version(response));
    }

    @Test
    void watchTimesOutAfterItsWait() throws Exception {
        assertEquals(
                304, probe.call("GET", OBJECT + "?after=0&wait-millis=1", "").statusCode());
    }

    @Test
    void droppedResponseHidesAnAppliedWrite() throws Exception {
        control("{\"lose_write_answers\": 1}");
        assertThrows(IOException.class, () -> write("first", 0));
        assertEquals("first", probe.call("GET", OBJECT, "").body());
    }

    @Test
    void outageRejectsAllRequestsUntilItEnds() throws Exception {
        control("{\"outage\": true}");
        assertEquals(503, write("first", 0).statusCode());
        control("{\"outage\": false}");
        assertEquals(404, probe.call("GET", OBJECT, "").statusCode());
    }

    @Test
    void writesAndReadsHaveSeparateRateLimits() throws Exception {
        for (int version = 0; version < 3; version++) {
            assertEquals(200, write("text", version).statusCode());
        }
        HttpResponse<String> refused = write("text", 3);
        assertEquals(429, refused.statusCode());
        assertTrue(refused.headers().firstValue("retry-after").isPresent());
        assertEquals(200, probe.call("GET", OBJECT, "").statusCode());
        clock.advance(Duration.ofSeconds(1));
        assertEquals(200, write("text", 3).statusCode());
    }

    @Test
    void oversizedObjectsAreRejected() throws Exception {
        assertEquals(413, write("x".repeat(1025), 0).statusCode());
    }

    @Test
    void hostListLagsAndExpiresSilentHosts() throws Exception {
        String host = "{\"name\":\"router-a\",\"zone\":\"a\",\"host\":\"127.0.0.1\","
                + "\"caller_port\":1,\"peer_port\":2,\"leaving\":false}";
        assertEquals(200, probe.call("PUT", "/v1/hosts/router-a", host).statusCode());
        assertEquals("[]", probe.call("GET", "/v1/hosts", "").body());
        clock.advance(Duration.ofSeconds(2));
        assertEquals("[" + host + "]", probe.call("GET", "/v1/hosts", "").body());
        clock.advance(Duration.ofSeconds(11));
        assertEquals("[]", probe.call("GET", "/v1/hosts", "").body());
    }

    @Test
    void requestsAreCountedByKind() throws Exception {
        write("first", 0);
        write("first", 0);
        String counts = probe.call("GET", "/control", "").body();
        assertTrue(counts.contains("\"write\":2"), counts);
        assertTrue(counts.contains("\"conflict\":1"), counts);
    }

    private HttpResponse<String> write(String content, long expectedVersion) throws Exception {
        return probe.call("PUT", OBJECT, content, "x-expected-version", Long.toString(expectedVersion));
    }

    private void control(String document) throws Exception {
        assertEquals(200, probe.call("PUT", "/control", document).statusCode());
    }

    private static String version(HttpResponse<String> response) {
        return response.headers().firstValue("x-object-version").orElse("");
    }
}
