/** Reading of HTTP responses with Netty, for all clients of the project. */
package org.mangowall.http;
