/** The host's copy of the platform's store, kept up to date by watches and by updates from other hosts. */
package org.mangowall.edge.mirror;
