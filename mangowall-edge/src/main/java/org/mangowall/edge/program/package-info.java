/** The program {@code mangowall-edge}: settings, assembly, start and shutdown of a host. */
package org.mangowall.edge.program;
