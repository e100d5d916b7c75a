/** The caller-facing HTTP server: accepts callers' requests and writes their answers. */
package org.mangowall.router.caller;
