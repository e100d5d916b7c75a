/** Who is in the fleet: probes between routers, suspicion, refutation and the spread of news. */
package org.mangowall.membership;
