package org.mangowall.policy;

import org.mangowall.kernel.name.WorkspaceName;

/**
 * A home's account of one workspace for one service.
 *
 * @param workspace the workspace
 * @param waiting its requests that wait at this home
 * @param charged the cost divided by weight that this incarnation has charged; it only grows
 * @param refunded the part of it that proved not to be used when requests ended; it only grows
 * @param lift the virtual time forgone on return from idleness; it only grows and is merged by maximum
 */
public record WorkspaceShare(WorkspaceName workspace, int waiting, double charged, double refunded, double lift) {}
