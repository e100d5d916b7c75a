/** Tests of the reading of HTTP responses. */
package org.mangowall.http;
