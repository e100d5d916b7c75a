/** What the parts of a router offer each other: the control plane, claims and the means that they get. */
package org.mangowall.router.spi;
