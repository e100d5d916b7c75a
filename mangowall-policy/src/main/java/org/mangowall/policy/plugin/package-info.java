/** The scheduling policies that settings can select. */
package org.mangowall.policy.plugin;
