/** A client of the platform's HTTP API. */
package org.mangowall.platform.http;
