/** Retries of calls to the platform: back-off with jitter, and conditional writes whose responses were lost. */
package org.mangowall.platform.retry;
