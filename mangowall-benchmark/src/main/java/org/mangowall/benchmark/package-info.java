/** Placeholder. */
package org.mangowall.benchmark;
