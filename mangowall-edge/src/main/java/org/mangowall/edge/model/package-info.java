/** Immutable values that the decisions and the data path share. */
package org.mangowall.edge.model;
