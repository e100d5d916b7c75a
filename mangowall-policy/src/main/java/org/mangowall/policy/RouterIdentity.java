package org.mangowall.policy;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ZoneName;

/**
 * Who a router is.
 *
 * @param name the router
 * @param incarnation grows with each start
 * @param zone the availability zone in which it stands
 */
public record RouterIdentity(RouterName name, long incarnation, ZoneName zone) {}
