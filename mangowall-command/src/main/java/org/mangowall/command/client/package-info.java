/** A client of the operator ports of routers, with failover between routers. */
package org.mangowall.command.client;
