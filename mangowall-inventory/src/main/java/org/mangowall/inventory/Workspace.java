package org.mangowall.inventory;

import org.mangowall.kernel.name.WorkspaceName;

/**
 * A workspace among which capacity is shared.
 *
 * @param name the workspace
 * @param weight its share relative to the others, above 0
 */
public record Workspace(WorkspaceName name, double weight) {}
