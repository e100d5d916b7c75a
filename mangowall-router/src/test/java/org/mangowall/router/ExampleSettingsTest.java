package org.mangowall.router;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.document.InventoryDocument;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ExampleSettingsTest {

    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final int ROUTER_COUNT = 9;
    private static final int ADDRESSES_PER_ROUTER = 3;

    @ParameterizedTest
    @ValueSource(strings = {"consortium", "le-goff"})
    void settingsOfADeploymentLoadAndUseDistinctAddresses(String deployment) {
        Path folder = EXAMPLES.resolve(deployment);
        Inventory inventory =
                InventoryDocument.readToml(folder.resolve("inventory.toml")).toInventory(1);
        Set<HostAndPort> addresses = new HashSet<>();
        inventory.runners().values().forEach(runner -> addresses.add(new HostAndPort(runner.host(), runner.port())));
        for (int number = 1; number <= ROUTER_COUNT; number++) {
            RouterSettings settings = RouterSettingsReader.read(folder.resolve("router-" + number + ".toml"));
            assertEquals("router-" + number, settings.name().value());
            assertTrue(inventory.zones().containsKey(settings.zone()));
            addresses.add(settings.callerAddress());
            addresses.add(settings.peerAddress());
            addresses.add(settings.operatorAddress());
        }
        assertEquals(inventory.runners().size() + ROUTER_COUNT * ADDRESSES_PER_ROUTER, addresses.size());
    }
}
