/** Loggers that prefix each message with the name of a component. */
package org.mangowall.kernel.log;
