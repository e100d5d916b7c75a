package org.mangowall.command.change;

/**
 * The result of writing a planned change.
 *
 * @param plan the changes; empty when the stored inventory was already equal
 * @param version the version under which the inventory is stored
 */
public record WriteResult(InventoryPlan plan, long version) {}
