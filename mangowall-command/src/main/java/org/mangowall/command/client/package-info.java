/** Calls to the operator ports of routers, with fail-over between them. */
package org.mangowall.command.client;
