package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A new version of the configuration raises the limit of a request's head while callers keep their connections.
 * TROUBLE=0: the limit is in force from the start.
 */
final class HeaderLimit {

    private static final int CALLERS = 10;
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final int OLD_LIMIT = 8_192;
    private static final int NEW_LIMIT = 16_384;
    private static final int LONG_HEAD = 12_000;
    private static final double CONFIG_SECONDS = 2.0;
    private static final int ALLOWED = 5;

    private HeaderLimit() {}

    private static String configuration(int version, int headerBytes) {
        return """
                {"version":%d,"routes":[
                 {"name":"r-record","host":"shop.example","path_prefix":"/record/","type":"non_idempotent",
                  "timeout_ms":1000,"latency_goal_ms":100,"priority":1,"service":"registre","max_attempts":1,
                  "public":false}],
                 "services":[{"name":"registre","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,
                  "cold_start_s":0.0,"cold_per_s":0.0}],
                 "limits":{"max_header_bytes":%d,"max_body_bytes":4194304,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000,"tokens_per_s":399000},
                 "tenants":[{"name":"hule930","api_keys":["%s"],"priority":1}]}
                """.formatted(version, headerBytes, KEY);
    }

    static int run(StandIns.Record record, Path directory) throws Exception {
        List<StandIns.Runner> runners = new ArrayList<>();
        List<StandIns.Connection> connections = new ArrayList<>();
        try (StandIns.Store store = new StandIns.Store()) {
            store.put("config", "main", configuration(7, StandIns.isTrouble() ? OLD_LIMIT : NEW_LIMIT));
            for (int number = 1; number <= 3; number++) {
                StandIns.Runner[] self = new StandIns.Runner[1];
                self[0] = new StandIns.Runner(
                        "i-" + number,
                        "registre",
                        6,
                        (request, output) -> self[0].respond(request, output, new byte[800]));
                runners.add(self[0]);
                store.put("servers", self[0].identifier(), self[0].entry("ready", 1));
            }
            StandIns.Host host = new StandIns.Host(
                    "edge-1", directory, store.address().getPort(), StandIns.Host.freePort(), List.of());
            try (host) {
                host.start();
                host.awaitReady();
                for (int caller = 0; caller < CALLERS; caller++) {
                    StandIns.Connection connection = new StandIns.Connection(host.callerPort, 0, 2_000);
                    connections.add(connection);
                    call(record, connection, "short-" + caller, 100);
                }
                store.put("config", "main", configuration(8, NEW_LIMIT));
                double acknowledgedAt = record.seconds();
                record.write("the store acknowledges version 8: max_header_bytes %d", NEW_LIMIT);
                for (int second = 0; second < 5; second++) {
                    Thread.sleep(1_000);
                    for (int caller = 0; caller < CALLERS; caller++) {
                        call(record, connections.get(caller), "kept-" + caller + "-" + second, 100);
                    }
                }
                record.write("%.1f s after the acknowledgement", record.seconds() - acknowledgedAt);
                if (record.seconds() - acknowledgedAt < CONFIG_SECONDS) {
                    return 2;
                }
                int denied = 0;
                int served = 0;
                for (int caller = 0; caller < CALLERS; caller++) {
                    int status = call(record, connections.get(caller), "long-" + caller, LONG_HEAD);
                    denied += status / 100 == 4 && status != 408 && status != 429 ? 1 : 0;
                    served += status == 200 ? 1 : 0;
                    try (StandIns.Connection fresh = new StandIns.Connection(host.callerPort, 0, 2_000)) {
                        call(record, fresh, "new-" + caller, LONG_HEAD);
                    }
                }
                record.write("on kept connections: %d served, %d denied", served, denied);
                return denied > ALLOWED ? 1 : served == CALLERS ? 0 : 2;
            }
        } finally {
            connections.forEach(StandIns.Connection::close);
            for (StandIns.Runner runner : runners) {
                runner.close();
            }
        }
    }

    private static int call(StandIns.Record record, StandIns.Connection connection, String identifier, int headBytes)
            throws IOException {
        String parts = "x".repeat(headBytes);
        connection.output.write(("POST /record/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + identifier
                        + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer " + KEY + "\r\nX-Trace: " + parts
                        + "\r\nContent-Length: 2\r\n\r\nab")
                .getBytes(StandardCharsets.ISO_8859_1));
        connection.output.flush();
        StandIns.Message answer = connection.receive();
        int status = answer == null ? 0 : answer.status();
        record.write("%s, head of %d bytes: %d", identifier, headBytes, status);
        return status;
    }

    public static void main(String[] arguments) {
        StandIns.run(Path.of(arguments[0]), HeaderLimit::run);
    }
}
