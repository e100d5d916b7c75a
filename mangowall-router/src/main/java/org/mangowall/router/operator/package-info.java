/** The HTTP server for operators: metrics, status, explained decisions and the configuration. */
package org.mangowall.router.operator;
