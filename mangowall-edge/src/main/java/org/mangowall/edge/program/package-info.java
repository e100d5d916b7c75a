/** The binary {@code mangowall-edge}: settings, assembly, start and end of a host. */
package org.mangowall.edge.program;
