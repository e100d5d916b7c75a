/** The metrics of a router, named after the conventions of Prometheus. */
package org.mangowall.router.metrics;
