/** Reports, exit codes and the formatting of text and JSON output. */
package org.mangowall.command.output;
