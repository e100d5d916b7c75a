/**
 * Decisions on requests: which runner takes one, which are turned away, which are sent again.
 *
 * <p>Nothing here does input or output or reads a clock: times are nanoseconds of a steady clock that the caller gives.
 */
package org.mangowall.edge.decision;
