/** What an adapter to a platform implements: the names of its messages and the calls of its store. */
package org.mangowall.edge.wire;
