/** The routers of the fleet as one router sees them. */
package org.mangowall.policy.fleet;
