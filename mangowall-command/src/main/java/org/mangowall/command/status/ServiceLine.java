package org.mangowall.command.status;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * A service over all routers that answered.
 *
 * @param name the service
 * @param freeSlots the sum of free slots
 * @param waiting the sum of waiting requests
 * @param gap the largest fairness gap that a router sees
 * @param gapBound the largest bound that a router states
 */
public record ServiceLine(String name, int freeSlots, int waiting, double gap, double gapBound) {

    static List<ServiceLine> join(List<RouterStatusDocument> routers) {
        Map<String, ServiceLine> lines = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Service service : router.services()) {
                ServiceLine line = new ServiceLine(
                        service.name(), service.freeSlots(), service.waiting(), service.gap(), service.gapBound());
                lines.merge(line.name(), line, ServiceLine::plus);
            }
        }
        return List.copyOf(lines.values());
    }

    private ServiceLine plus(ServiceLine other) {
        return new ServiceLine(
                name,
                freeSlots + other.freeSlots,
                waiting + other.waiting,
                Math.max(gap, other.gap),
                Math.max(gapBound, other.gapBound));
    }
}
