package org.mangowall.command.subcommand;

import java.nio.file.Path;

import org.mangowall.command.change.ConfigurationWriter;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.document.InventoryDocument;

/**
 * An inventory file that is to be applied.
 *
 * @param document the inventory
 * @param hasRules whether the file contains rules; if not, the stored rules are retained
 */
record InventoryFile(InventoryDocument document, boolean hasRules) {

    static InventoryFile read(String name) {
        Path file = Path.of(name);
        boolean hasRules = CheckedTable.readToml(file).has("rules");
        return new InventoryFile(InventoryDocument.readToml(file), hasRules);
    }

    /** Returns the document to write, with the stored rules that still apply if the file contains none. */
    InventoryDocument withStoredRules(StoredConfiguration stored) {
        if (hasRules || stored.document().isEmpty()) {
            return document;
        }
        return document.withRules(ConfigurationWriter.retainApplicableRules(
                stored.document().get().rules(), document));
    }
}
