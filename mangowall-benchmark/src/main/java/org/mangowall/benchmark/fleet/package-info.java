/** Discrete-event simulation of a fleet: real decision cores with simulated messages, runners and callers. */
package org.mangowall.benchmark.fleet;
