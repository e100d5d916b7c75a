package org.mangowall.policy;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * Identity of one run of a router.
 *
 * @param name the name of the router
 * @param incarnation the incarnation, which grows with each start
 * @param zone the availability zone in which it runs
 */
public record RouterIdentity(RouterName name, long incarnation, ZoneName zone) {}
