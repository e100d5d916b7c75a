/**
 * Scheduling decisions of a router, computed from events and the clock without any I/O.
 *
 * <p>A router is the entry of the requests that it receives from callers, and the home of the runners assigned to it: a
 * home queues the requests for its runners and dispatches them.
 */
package org.mangowall.policy;
