/** What would change between two inventories, and how a change is written. */
package org.mangowall.command.change;
