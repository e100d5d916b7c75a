/** The data path: callers' connections, requests in progress and connections to runners, all on one network thread. */
package org.mangowall.edge.traffic;
