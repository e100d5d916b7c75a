/** Immutable values shared by placement and request forwarding. */
package org.mangowall.edge.model;
