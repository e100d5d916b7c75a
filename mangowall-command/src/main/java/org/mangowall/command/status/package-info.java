/** The view of the whole fleet, joined from the statuses of its routers. */
package org.mangowall.command.status;
