package org.mangowall.inventory;

import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.ZoneName;

/**
 * An availability zone of a region.
 *
 * @param name the zone
 * @param region the region it belongs to
 * @param closed whether operators have taken it out: it gets no new work
 */
public record AvailabilityZone(ZoneName name, RegionName region, boolean closed) {}
