package org.mangowall.policy;

import org.mangowall.kernel.name.WorkspaceName;

/**
 * Account of one workspace for one service at one home.
 *
 * @param workspace the workspace
 * @param waiting its requests that wait at this home
 * @param charged the cost divided by weight that this incarnation has charged; it only grows
 * @param refunded the part of it refunded when requests ended below their estimate; it only grows
 * @param lift the virtual time added when the workspace returned from idleness; it only grows and is merged by maximum
 */
public record WorkspaceShare(WorkspaceName workspace, int waiting, double charged, double refunded, double lift) {}
