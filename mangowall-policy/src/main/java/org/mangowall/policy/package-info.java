/** All decisions of a router as pure functions of events and the clock: no input or output happens here. */
package org.mangowall.policy;
