/** Decision cores joined by messages with delays, with runners and callers that follow a seeded trace. */
package org.mangowall.benchmark.fleet;
