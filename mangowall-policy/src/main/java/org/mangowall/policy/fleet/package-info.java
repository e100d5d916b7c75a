/** The routers of the fleet, as known to one router. */
package org.mangowall.policy.fleet;
