/** Connections between routers: MessagePack frames over TCP. */
package org.mangowall.router.peer;
