/** Clocks: one that never goes back, and one that tests pause and advance. */
package org.mangowall.kernel.time;
