/** The data path: callers' connections, requests under way and connections to runners, all on one network thread. */
package org.mangowall.edge.traffic;
