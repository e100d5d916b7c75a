/** The interfaces that a platform adapter implements: message formats and the client of the platform's store. */
package org.mangowall.edge.wire;
