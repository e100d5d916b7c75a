/** A control plane that relies on the platform alone: for single routers, and as a baseline for comparisons. */
package org.mangowall.router.polling;
