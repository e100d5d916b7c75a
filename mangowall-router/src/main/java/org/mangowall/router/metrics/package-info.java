/** The metrics of a router, named by the conventions of Prometheus. */
package org.mangowall.router.metrics;
