/** The control plane of a router: membership, configuration and claims, each in its own duty. */
package org.mangowall.router.control;
