package org.mangowall.inventory.document;

import java.nio.charset.StandardCharsets;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.checked.SettingsException;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class InventoryDocumentTest {

    private static final String SMALL = """
            [[regions]]
            name = "bretagne"
            availability_zones = ["rennes", "brest"]

            [[services]]
            name = "redacteur"
            kind = "model"
            start_limit = 1
            queue_timeout = "1500ms"

            [[runners]]
            name = "redacteur-rennes"
            service = "redacteur"
            zone = "rennes"
            address = "127.0.0.1:9001"
            count = 2
            slots = 8

            [[runners]]
            name = "redacteur-brest"
            service = "redacteur"
            zone = "brest"
            addresses = ["127.0.0.2:9001", "[::1]:9001"]
            slots = 8

            [[workspaces]]
            name = "papeterie-du-port"
            weight = 2.5

            [rules]
            closed_zones = ["brest"]
            draining_runners = ["redacteur-rennes-2"]
            workspace_weights = { papeterie-du-port = 4 }
            """;

    @Test
    void groupsAreExpandedAndRulesApplied() {
        Inventory inventory = InventoryDocument.parseToml("small.toml", SMALL).toInventory(7);
        assertEquals(7, inventory.version());
        assertEquals(4, inventory.runners().size());
        assertEquals(
                9002,
                inventory.runners().get(new RunnerName("redacteur-rennes-2")).port());
        assertTrue(inventory.runners().get(new RunnerName("redacteur-rennes-2")).draining());
        assertFalse(inventory.isOpen(inventory.runners().get(new RunnerName("redacteur-brest-2"))));
        assertTrue(inventory.zones().get(new ZoneName("brest")).closed());
        assertEquals(
                4,
                inventory
                        .workspaces()
                        .get(new WorkspaceName("papeterie-du-port"))
                        .weight());
    }

    @Test
    void exportedTomlAndJsonAreReadBackUnchanged() {
        InventoryDocument document = InventoryDocument.parseToml("small.toml", SMALL);
        assertEquals(document, InventoryDocument.parseJson(document.toJson()));
        assertEquals(document, InventoryDocument.parseToml("export", document.toToml()));
        assertArrayEquals(
                document.toJson(),
                InventoryDocument.parseJson(document.toJson()).toJson());
    }

    @Test
    void exportedTomlHasATableForEachEntry() {
        Approvals.verify(InventoryDocument.parseToml("small.toml", SMALL).toToml());
    }

    @Test
    void rulesCanBeChangedIndividually() {
        InventoryDocument document = InventoryDocument.parseToml("small.toml", SMALL);
        RuleSet rules = document.rules()
                .withZone(new ZoneName("brest"), false)
                .withRunner(new RunnerName("redacteur-rennes-2"), false)
                .withWeight(new WorkspaceName("papeterie-du-port"), 3);
        Inventory inventory = document.withRules(rules).toInventory(1);
        assertTrue(inventory.runners().values().stream().allMatch(inventory::isOpen));
        assertEquals(
                3,
                inventory
                        .workspaces()
                        .get(new WorkspaceName("papeterie-du-port"))
                        .weight());
    }

    @Test
    void allFaultsOfAnInventoryAreListed() {
        String text = """
                [[regions]]
                name = "bretagne"
                availability_zones = ["rennes", "rennes", "Brest"]

                [[regions]]
                name = "bretagne"

                [[services]]
                name = "redacteur"
                kind = "modell"
                queue_timeout = "30 seconds"
                start_limit = 0

                [[services]]
                name = "caisse"
                kind = "model"
                prompt_token_cost = 0
                output_token_cost = 0

                [[runners]]
                name = "one"
                service = "redacteur"
                zone = "vannes"
                address = "127.0.0.1:9001"
                slots = 8

                [[runners]]
                name = "one"
                service = "redactor"
                zone = "rennes"
                address = "127.0.0.1:9001"
                slots = 8
                colour = "red"

                [[runners]]
                name = "two"
                service = "caisse"
                zone = "rennes"
                address = "127.0.0.1:65535"
                count = 2

                [[workspaces]]
                name = "papeterie"
                weight = 0

                [rules]
                closed_zones = ["quimper"]
                draining_runners = ["three"]
                workspace_weights = { papeterie = -1, unknown = 2 }
                """;
        SettingsException failure =
                assertThrows(SettingsException.class, () -> InventoryDocument.parseToml("faulty.toml", text));
        assertEquals(FailureCode.INVENTORY_INVALID, failure.failureCode());
        Approvals.verify(failure.getMessage());
    }

    @Test
    void anEmptyInventoryIsRefused() {
        byte[] content = "{}".getBytes(StandardCharsets.UTF_8);
        SettingsException failure = assertThrows(SettingsException.class, () -> InventoryDocument.parseJson(content));
        assertEquals(3, failure.faults().size());
    }
}
