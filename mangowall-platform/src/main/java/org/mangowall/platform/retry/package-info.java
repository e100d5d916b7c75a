/** Retries of calls to the platform: back-off with jitter, and conditional writes whose answers were lost. */
package org.mangowall.platform.retry;
