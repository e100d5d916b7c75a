package org.mangowall.command.change;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.output.Json;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.ServiceName;

/**
 * A change in the number of slots with which a service accepts new requests.
 *
 * @param service the service
 * @param before the open slots now
 * @param after the open slots after the change
 */
public record CapacityChange(ServiceName service, int before, int after) {

    static CapacityChange of(ServiceName service, Inventory before, Inventory after) {
        return new CapacityChange(service, openSlots(before, service), openSlots(after, service));
    }

    private static int openSlots(Inventory inventory, ServiceName service) {
        return inventory.runnersOf(service).stream()
                .filter(inventory::isOpen)
                .mapToInt(Runner::slots)
                .sum();
    }

    /** Formats the change as one line of the text output. */
    public String toText() {
        String line = "service " + service + ": open slots " + before + " -> " + after;
        return after == 0 ? line + " (it will refuse all requests)" : line;
    }

    /** Formats the change for the JSON output. */
    public ObjectNode toJson() {
        return Json.object()
                .put("service", service.value())
                .put("open_slots_before", before)
                .put("open_slots_after", after);
    }
}
