/** Benchmarks of scheduling policies: many decision cores in one process on a simulated clock. */
package org.mangowall.benchmark;
