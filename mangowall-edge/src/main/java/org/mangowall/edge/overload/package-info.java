/** What a host does when its own link or processor can't keep up: measures its own delay and refuses connections. */
package org.mangowall.edge.overload;
