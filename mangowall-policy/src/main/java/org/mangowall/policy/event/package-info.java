/** What a router's decision core learns. */
package org.mangowall.policy.event;
