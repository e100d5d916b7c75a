/** The subcommands; each registers itself as a plug-in. */
package org.mangowall.command.subcommand;
