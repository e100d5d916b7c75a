/** The events that a decision core handles. */
package org.mangowall.policy.event;
