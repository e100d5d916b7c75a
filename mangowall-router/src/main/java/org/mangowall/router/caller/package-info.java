/** The entry role: callers' HTTP requests and their answers. */
package org.mangowall.router.caller;
