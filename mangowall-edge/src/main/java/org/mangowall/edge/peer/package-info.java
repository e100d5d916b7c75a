/** What hosts tell each other: their work at runners, their state, and what they know of the store. */
package org.mangowall.edge.peer;
