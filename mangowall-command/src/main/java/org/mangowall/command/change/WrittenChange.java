package org.mangowall.command.change;

/**
 * A change that is accepted.
 *
 * @param plan what changed; empty when nothing was to be done
 * @param version the version that holds it
 */
public record WrittenChange(InventoryPlan plan, long version) {}
