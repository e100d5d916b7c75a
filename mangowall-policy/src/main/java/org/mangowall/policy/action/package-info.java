/** What a router's decision core orders. */
package org.mangowall.policy.action;
