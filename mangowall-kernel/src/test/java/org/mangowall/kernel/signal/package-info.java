/** Tests of the signals to this process. */
package org.mangowall.kernel.signal;
