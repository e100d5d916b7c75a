/** Cost accounting of workspaces, from which fair queueing derives their virtual times. */
package org.mangowall.policy.share;
