/** Compares inventories, writes changes and waits until they are in force. */
package org.mangowall.command.change;
