/** A small HTTP server on Netty, shared by all stand-ins. */
package org.mangowall.standin.http;
