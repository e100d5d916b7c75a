/** Structured logs and metrics of a host. */
package org.mangowall.edge.log;
