/** The inventory of availability zones, services, runners and workspaces, as immutable validated data. */
package org.mangowall.inventory;
