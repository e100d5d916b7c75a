/** Lightweight stand-ins for the platform, the runners and the callers, for demos, tests and benchmarks. */
package org.mangowall.standin;
