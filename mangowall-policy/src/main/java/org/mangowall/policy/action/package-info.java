/** The actions that a decision core returns. */
package org.mangowall.policy.action;
