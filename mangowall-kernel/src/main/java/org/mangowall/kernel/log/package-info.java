/** Logging with a fixed prefix for each part. */
package org.mangowall.kernel.log;
