/** Messages between routers and their encoding as MessagePack frames. */
package org.mangowall.protocol;
