/** Messages between routers and their MessagePack frames. */
package org.mangowall.protocol;
