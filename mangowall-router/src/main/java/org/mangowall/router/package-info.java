/** Placeholder. */
package org.mangowall.router;
