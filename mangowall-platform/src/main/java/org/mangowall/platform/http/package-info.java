/** The platform's protocol over HTTP. */
package org.mangowall.platform.http;
