/** Reports in text and JSON. */
package org.mangowall.command.output;
