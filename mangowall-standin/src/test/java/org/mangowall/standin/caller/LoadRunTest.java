package org.mangowall.standin.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.router.Router;
import org.mangowall.standin.demo.DemoFleet;
import org.mangowall.standin.http.Json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadRunTest {

    @Test
    void everyCallThroughAHealthyFleetGetsItsOwnResponse() {
        try (DemoFleet fleet = DemoFleet.start()) {
            LoadSettings settings = new LoadSettings(
                    addresses(fleet.routers(), true),
                    addresses(fleet.routers(), false),
                    fleet.inventory(),
                    Duration.ZERO,
                    Duration.ofSeconds(1),
                    1,
                    List.of(model(true), model(false), plain("POST", true), plain("POST", false), plain("GET", false)));
            JsonNode report = Json.read(Json.write(LoadRun.run(settings)));
            assertTrue(report.path("all_calls_ended").asBoolean(), report.toPrettyString());
            assertTrue(report.at("/total/answered").asInt() > 0, report.toPrettyString());
            for (String failure : List.of("unknown", "cut", "wrong_body")) {
                assertEquals(0, report.at("/total/" + failure).asInt(), report.toPrettyString());
            }
            for (String failure : List.of("doubled", "acknowledged_but_lost", "not_run_but_executed")) {
                assertEquals(0, report.at("/ledger/" + failure).asInt(), report.toPrettyString());
            }
        }
    }

    private static List<HostAndPort> addresses(List<Router> routers, boolean callers) {
        List<HostAndPort> addresses = new ArrayList<>();
        for (Router router : routers) {
            addresses.add(new HostAndPort("127.0.0.1", callers ? router.callerPort() : router.operatorPort()));
        }
        return addresses;
    }

    private static LoadPlan model(boolean stream) {
        return new LoadPlan(
                "aquatique-levis", "moniteur", ServiceKind.MODEL, 3, 1, 16, 8, stream, "POST", false, 1, false);
    }

    private static LoadPlan plain(String method, boolean keyed) {
        return new LoadPlan(
                "sauvetage-quebec", "registre", ServiceKind.PLAIN, 2, 1, 1, 4, false, method, keyed, 3, false);
    }
}
