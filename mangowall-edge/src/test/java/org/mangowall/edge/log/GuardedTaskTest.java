package org.mangowall.edge.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class GuardedTaskTest {

    @Test
    void anUnexpectedErrorIsLogged() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog(output, Clock.systemUTC(), "h")) {
            new GuardedTask(log, "duty", () -> {
                        throw new IllegalStateException("unexpected");
                    })
                    .run();
        }
        String line = output.toString(StandardCharsets.UTF_8);
        assertTrue(line.contains("\"event\":\"task-failed\"") && line.contains("\"task\":\"duty\""), line);
        assertTrue(line.contains("IllegalStateException: unexpected"), line);
    }

    /** Guards against a repeated task that an error ends unseen. */
    @Test
    void anErrorIsLoggedAndDoesNotLeaveTheTask() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog(output, Clock.systemUTC(), "h")) {
            new GuardedTask(log, "duty", () -> {
                        throw new NoClassDefFoundError("on purpose");
                    })
                    .run();
        }
        String line = output.toString(StandardCharsets.UTF_8);
        assertTrue(line.contains("NoClassDefFoundError: on purpose"), line);
    }
}
