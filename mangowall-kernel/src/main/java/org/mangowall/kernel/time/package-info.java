/** A monotonic clock, and a manually advanced clock for tests and simulations. */
package org.mangowall.kernel.time;
