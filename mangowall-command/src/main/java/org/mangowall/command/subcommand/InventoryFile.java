package org.mangowall.command.subcommand;

import java.nio.file.Path;

import org.mangowall.command.change.ConfigurationWriter;
import org.mangowall.command.client.StoredConfiguration;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.document.InventoryDocument;

/**
 * A file that an operator wants to apply.
 *
 * @param document the inventory in it
 * @param givesRules whether it has rules; without, those in force are kept
 */
record InventoryFile(InventoryDocument document, boolean givesRules) {

    static InventoryFile read(String name) {
        Path file = Path.of(name);
        boolean givesRules = CheckedTable.readToml(file).has("rules");
        return new InventoryFile(InventoryDocument.readToml(file), givesRules);
    }

    /** The document to write over what is stored. */
    InventoryDocument over(StoredConfiguration stored) {
        if (givesRules || stored.document().isEmpty()) {
            return document;
        }
        return document.withRules(
                ConfigurationWriter.keepRules(stored.document().get().rules(), document));
    }
}
