/** A stand-in for the platform: the object API, rate limits, injected faults and a list of hosts that lags behind. */
package org.mangowall.standin.platform;
