/** The scheduling policies that settings may choose. */
package org.mangowall.policy.plugin;
