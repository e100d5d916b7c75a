/** Repeating calls to the platform: jittered back-off and writes whose answers were lost. */
package org.mangowall.platform.retry;
