/** The subcommands, each registered as a plug-in. */
package org.mangowall.command.subcommand;
