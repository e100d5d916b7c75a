/** Measures scheduling policies: many decision cores in one process on a paused clock. */
package org.mangowall.benchmark;
