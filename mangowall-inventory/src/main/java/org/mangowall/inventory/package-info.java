/** The inventory of places, services, runners and workspaces with the operators' rules, as immutable checked data. */
package org.mangowall.inventory;
