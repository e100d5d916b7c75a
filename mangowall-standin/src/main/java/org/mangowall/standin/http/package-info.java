/** A small Netty-based HTTP server, shared by all stand-ins. */
package org.mangowall.standin.http;
