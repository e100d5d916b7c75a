/** Claims of idempotency keys: at most one request runs for a key, even if several routers hold its partition. */
package org.mangowall.claims;
