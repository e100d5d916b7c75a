/** The home role: requests that wait for, or run at, the runners of this router. */
package org.mangowall.router.home;
