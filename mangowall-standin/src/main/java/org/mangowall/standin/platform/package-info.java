/** A stand-in of the platform: the object API, its rates and failures, and the lagging list of hosts. */
package org.mangowall.standin.platform;
