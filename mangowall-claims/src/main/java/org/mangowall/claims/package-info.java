/** Placeholder. */
package org.mangowall.claims;
