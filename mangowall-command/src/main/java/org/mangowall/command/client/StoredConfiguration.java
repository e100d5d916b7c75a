package org.mangowall.command.client;

import java.util.Optional;

import org.mangowall.inventory.document.InventoryDocument;

/**
 * The inventory as a router knows it.
 *
 * @param version its version; 0 when there is none yet
 * @param document the inventory, if there is one
 */
public record StoredConfiguration(long version, Optional<InventoryDocument> document) {

    /** Nothing was written yet. */
    public static final StoredConfiguration NONE = new StoredConfiguration(0, Optional.empty());
}
