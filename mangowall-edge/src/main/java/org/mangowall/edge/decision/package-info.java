/**
 * Placement decisions: which runner a request goes to, which requests are rejected and which may be retried.
 *
 * <p>A model engine processes a prompt (prefill) by computing the key-value cache of its tokens, except for a prefix
 * that is cached already. A runner is cold for some time after its start, during which it can serve only a limited rate
 * of requests.
 *
 * <p>The classes do no I/O and read no clock: the caller passes the time in nanoseconds of a monotonic clock.
 */
package org.mangowall.edge.decision;
