/** The accounts by which workspaces share a service. */
package org.mangowall.policy.share;
