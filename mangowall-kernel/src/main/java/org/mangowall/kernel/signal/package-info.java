/** The operating system's signals to this process. */
package org.mangowall.kernel.signal;
