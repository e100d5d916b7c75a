package org.mangowall.inventory.document;

import java.util.List;

import org.mangowall.kernel.name.RegionName;
import org.mangowall.kernel.name.ZoneName;

/**
 * A region with its availability zones.
 *
 * @param name the name of the region
 * @param zones its availability zones, at least one
 */
public record RegionEntry(RegionName name, List<ZoneName> zones) {

    /** Copies the list. */
    public RegionEntry {
        zones = List.copyOf(zones);
    }
}
