package org.mangowall.inventory.document;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.name.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ExampleInventoriesTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @Test
    void theConsortiumInventoryHasTheExpectedZonesAndCounts() {
        Inventory inventory = read("consortium").toInventory(1);
        assertEquals(
                "[qc-est-a, qc-est-b, qc-est-c]", inventory.zones().keySet().toString());
        assertEquals(12, inventory.runnersOf(new ServiceName("moniteur")).size());
        assertEquals(3, inventory.runnersOf(new ServiceName("registre")).size());
        assertEquals(16, inventory.workspaces().size());
    }

    @Test
    void theLeGoffInventoryHasTheExpectedZonesAndCounts() {
        Inventory inventory = read("le-goff").toInventory(1);
        assertEquals("[brest, rennes, vannes]", inventory.zones().keySet().toString());
        assertEquals(8, inventory.runnersOf(new ServiceName("redacteur")).size());
        assertEquals(3, inventory.runnersOf(new ServiceName("caisse")).size());
        assertEquals(16, inventory.workspaces().size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"consortium", "le-goff"})
    void anExportedInventoryIsReadBackUnchanged(String deployment) {
        InventoryDocument document = read(deployment);
        InventoryDocument stored = InventoryDocument.parseJson(document.toJson());
        assertEquals(document, stored);
        assertEquals(document, InventoryDocument.parseToml("export.toml", stored.toToml()));
    }

    private static InventoryDocument read(String deployment) {
        return InventoryDocument.readToml(EXAMPLES.resolve(deployment).resolve("inventory.toml"));
    }
}
