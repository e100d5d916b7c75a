/** The decision core that all scheduling policies share; a policy only chooses among its strategies. */
package org.mangowall.policy.core;
