/** Threads that each handle the events of one bounded queue. */
package org.mangowall.kernel.duty;
