/**
 * Placement decisions: which runner a request goes to, which requests are rejected and which may be retried.
 *
 * <p>The classes do no I/O and read no clock: the caller passes the time in nanoseconds of a monotonic clock.
 */
package org.mangowall.edge.decision;
