/** Aggregates the statuses of routers into the status of the fleet and formats it. */
package org.mangowall.command.status;
