/** How many requests a runner may have at once, and how often a failed try may be repeated. */
package org.mangowall.policy.limit;
