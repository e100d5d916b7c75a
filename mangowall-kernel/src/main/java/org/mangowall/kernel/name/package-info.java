/** Names of the things in the inventory and of requests: immutable, validated values. */
package org.mangowall.kernel.name;
