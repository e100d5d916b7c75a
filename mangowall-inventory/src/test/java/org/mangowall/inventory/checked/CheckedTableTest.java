package org.mangowall.inventory.checked;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CheckedTableTest {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration HOUR = Duration.ofHours(1);

    @Test
    void valuesOfEachTypeAreRead() {
        CheckedTable table = CheckedTable.parseToml("good.toml", """
                name = "router-1"
                slots = 16
                weight = 2.5
                quiet = true
                wait = "5m"
                body = "8MiB"
                caller = "127.0.0.1:8080"
                peer = "[::1]:9000"
                peers = ["127.0.0.1:1", "127.0.0.1:2"]
                zones = ["rennes", "brest"]
                [platform]
                address = "127.0.0.1:7000"
                [[runners]]
                name = "one"
                """);
        assertEquals("router-1", table.text("name"));
        assertEquals(16, table.integer("slots", 1, 64, 2));
        assertEquals(2.5, table.number("weight", 0, 10, 1));
        assertTrue(table.flag("quiet", false));
        assertEquals(Duration.ofMinutes(5), table.duration("wait", SECOND, HOUR, SECOND));
        assertEquals(8 << 20, table.bytes("body", 1, 1 << 30, 1));
        assertEquals(new HostAndPort("127.0.0.1", 8080), table.address("caller"));
        assertEquals("[::1]:9000", table.address("peer", null).toString());
        assertEquals(2, table.addresses("peers").size());
        assertEquals(List.of("rennes", "brest"), table.texts("zones"));
        assertEquals(7000, table.table("platform").address("address").port());
        assertEquals("one", table.tables("runners").getFirst().text("name"));
        assertEquals("fallback", table.text("absent", "fallback"));
        table.finish();
    }

    @Test
    void allFaultsAreListedAtOnce() {
        CheckedTable table = CheckedTable.parseToml("bad.toml", """
                slots = 0
                weight = "much"
                quiet = 1
                wait = 30
                late = "2h"
                body = "8MB"
                caller = "localhost:8080"
                peer = "127.0.0.1:70000"
                zones = "rennes"
                nonsense = 1
                [platform]
                adress = "127.0.0.1:7000"
                [[runners]]
                name = "one"
                colour = "red"
                """);
        table.text("name");
        table.integer("slots", 1, 64, 2);
        table.number("weight", 0, 10, 1);
        table.flag("quiet", false);
        table.duration("wait", SECOND, HOUR, SECOND);
        table.duration("late", SECOND, HOUR, SECOND);
        table.bytes("body", 1, 1 << 30, 1);
        table.address("caller");
        table.address("peer", null);
        table.texts("zones");
        table.table("platform").address("address");
        table.tables("runners").getFirst().text("name");
        table.fault("caller", "another address than peer");
        SettingsException failure = assertThrows(SettingsException.class, table::finish);
        assertEquals(FailureCode.SETTINGS_INVALID, failure.failureCode());
        Approvals.verify(failure.getMessage());
    }

    @Test
    void aSyntaxErrorIsAFaultWithLineAndColumn() {
        SettingsException failure =
                assertThrows(SettingsException.class, () -> CheckedTable.parseToml("broken.toml", "a = 1\nb = = 2\n"));
        assertTrue(failure.faults().getFirst().key().startsWith("line 2"), failure.getMessage());
    }

    @Test
    void aMissingFileIsAFault() {
        Path missing = Path.of("target", "no-such-file.toml");
        SettingsException failure = assertThrows(SettingsException.class, () -> CheckedTable.readToml(missing));
        assertEquals("(file)", failure.faults().getFirst().key());
    }
}
