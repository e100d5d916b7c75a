package org.mangowall.command.client;

import java.util.Optional;

import org.mangowall.inventory.document.InventoryDocument;

/**
 * The stored inventory and its version, as read from a router.
 *
 * @param version the version, or 0 when no inventory has been written yet
 * @param document the inventory, if there is one
 */
public record StoredConfiguration(long version, Optional<InventoryDocument> document) {

    /** Stands for a platform on which no inventory has been written yet. */
    public static final StoredConfiguration NONE = new StoredConfiguration(0, Optional.empty());
}
