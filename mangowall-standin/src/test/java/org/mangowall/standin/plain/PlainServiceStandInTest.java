package org.mangowall.standin.plain;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.time.ManualClock;
import org.mangowall.standin.HttpProbe;
import org.mangowall.standin.runner.RunnerStandInSettings;
import org.mangowall.standin.runner.SideEffectLedger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlainServiceStandInTest {

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final SideEffectLedger ledger = new SideEffectLedger();
    private PlainServiceStandIn service;
    private HttpProbe probe;

    @BeforeEach
    void startService() {
        service = PlainServiceStandIn.start(
                new PlainServiceSettings(RunnerStandInSettings.withDefaults(), Duration.ofMillis(1)),
                eventLoops.next(),
                new ManualClock(Instant.EPOCH),
                ledger);
        probe = new HttpProbe(service.port());
    }

    @AfterEach
    void stopService() {
        service.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void everyRequestIsEchoed() throws Exception {
        HttpResponse<String> response = probe.call("PATCH", "/dossiers/7?draft=1", "nonce=a1");
        assertEquals(PlainServiceStandIn.echo("PATCH", "/dossiers/7?draft=1", "nonce=a1"), response.body());
    }

    @Test
    void ledgerReportsDuplicateExecutions() throws Exception {
        probe.call("POST", "/certifications", "nonce=a1", "x-mangowall-request", "r~1~1");
        probe.call("POST", "/certifications", "nonce=a2", "x-mangowall-request", "r~1~2");
        probe.call("POST", "/certifications", "nonce=a1", "x-mangowall-request", "r~1~3");
        probe.call("GET", "/certifications", "nonce=a2");
        String document = probe.call("GET", "/ledger", "").body();
        assertTrue(document.contains("\"doubled\":1"), document);
        assertTrue(document.contains("\"a1\":[\"r~1~1\",\"r~1~3\"]"), document);
        assertTrue(document.contains("\"a2\":[\"r~1~2\"]"), document);
    }

    @Test
    void droppedResponseHidesAnExecution() throws Exception {
        probe.call("PUT", "/control", "{\"lose_answers\": 1}");
        assertThrows(IOException.class, () -> probe.call("POST", "/certifications", "nonce=a3"));
        assertEquals(1, ledger.executionCount("a3"));
    }

    @Test
    void refusalStatesThatTheRequestWasNotExecuted() throws Exception {
        probe.call("PUT", "/control", "{\"refuse_requests\": 1}");
        HttpResponse<String> refusal = probe.call("POST", "/certifications", "nonce=a4");
        assertEquals(503, refusal.statusCode());
        assertEquals("yes", refusal.headers().firstValue("x-not-run").orElse(""));
        assertEquals(0, ledger.executionCount("a4"));
    }
}
