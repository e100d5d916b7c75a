/** The host's copy of what the platform's store holds, followed by watches and completed by other hosts. */
package org.mangowall.edge.mirror;
