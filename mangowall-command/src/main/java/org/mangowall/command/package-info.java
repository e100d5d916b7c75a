/** The command line for operators: argument parsing, settings, help and the plug-in interface of subcommands. */
package org.mangowall.command;
