/** Claims of idempotency keys: at most one request runs for a key, whoever holds its partition. */
package org.mangowall.claims;
