/** The default control plane of a router: one thread for membership and configuration, one for claims. */
package org.mangowall.router.control;
