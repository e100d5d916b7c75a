/** Concurrency limits of runners and the budget for retries. */
package org.mangowall.policy.limit;
