package org.mangowall.standin.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DemoTest {

    private static final int EXPECTED_CALLS = 12;

    @Test
    void everyRouterAnswersEachKindOfCallAndShutsDownCleanly() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (Demo demo = Demo.start(new PrintStream(bytes, true, StandardCharsets.UTF_8))) {
            assertTrue(demo.sendCalls(), bytes.toString(StandardCharsets.UTF_8));
            demo.showAddresses();
        }
        String printed = bytes.toString(StandardCharsets.UTF_8);
        assertEquals(
                EXPECTED_CALLS,
                printed.lines()
                        .filter(line -> line.contains("200 from runner "))
                        .count(),
                printed);
        assertTrue(printed.contains("/metrics"), printed);
        assertTrue(printed.endsWith("ended" + System.lineSeparator()), printed);
    }
}
