/** Failure codes and the unchecked exceptions that carry them. */
package org.mangowall.kernel.failure;
