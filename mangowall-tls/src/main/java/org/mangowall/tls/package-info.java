/** TLS engines from PEM files, which are reloaded when they change. */
package org.mangowall.tls;
