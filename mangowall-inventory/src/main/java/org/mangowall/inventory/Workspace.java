package org.mangowall.inventory;

import org.mangowall.kernel.name.WorkspaceName;

/**
 * A workspace; capacity is shared fairly between workspaces.
 *
 * @param name the name of the workspace
 * @param weight its share of the capacity relative to other workspaces, above 0
 */
public record Workspace(WorkspaceName name, double weight) {}
