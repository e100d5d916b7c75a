/** The decision core of all scheduling policies; each policy selects among its strategies. */
package org.mangowall.policy.core;
