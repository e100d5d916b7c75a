package org.mangowall.inventory;

import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.ZoneName;

/**
 * An availability zone in a region.
 *
 * @param name the name of the zone
 * @param region the region that contains it
 * @param closed whether operators have closed it, so that its runners receive no new requests
 */
public record AvailabilityZone(ZoneName name, RegionName region, boolean closed) {}
