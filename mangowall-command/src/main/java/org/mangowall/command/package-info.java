/** The operators' command line: options, subcommands as plug-ins, reports and exit codes. */
package org.mangowall.command;
