/** Tests of the behaviour of a host whose own link or processor can't keep up. */
package org.mangowall.edge.overload;
