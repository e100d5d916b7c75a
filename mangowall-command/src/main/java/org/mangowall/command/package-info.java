/** Placeholder. */
package org.mangowall.command;
