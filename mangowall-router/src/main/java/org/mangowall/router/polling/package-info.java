/** A control plane that knows only what the platform says: for single routers and as a baseline. */
package org.mangowall.router.polling;
