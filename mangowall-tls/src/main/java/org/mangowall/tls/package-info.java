/** TLS from PEM files that are read again when they change. */
package org.mangowall.tls;
