/** Interfaces between a router and its control plane, which is a plug-in. */
package org.mangowall.router.spi;
