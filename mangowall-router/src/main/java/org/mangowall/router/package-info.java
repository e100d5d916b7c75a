/** The router process: entry point, settings, and wiring of its components. */
package org.mangowall.router;
