/** The direct data path: a host that takes a request sends it to a runner by itself. */
package org.mangowall.edge;
