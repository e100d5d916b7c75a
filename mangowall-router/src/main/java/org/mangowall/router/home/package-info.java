/** The home role of a router: requests that wait for, or run on, the runners assigned to this router. */
package org.mangowall.router.home;
