/** Placeholder. */
package org.mangowall.standin;
