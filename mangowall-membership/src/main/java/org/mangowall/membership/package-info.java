/** Placeholder. */
package org.mangowall.membership;
