package org.mangowall.command.status;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * The state of a service, aggregated over all routers that returned a status.
 *
 * @param name the name of the service
 * @param freeSlots the free slots on all routers
 * @param waiting the requests that wait on all routers
 * @param gap the largest fairness gap that any router reports
 * @param gapBound the largest bound on the gap that any router reports
 */
public record ServiceSummary(String name, int freeSlots, int waiting, double gap, double gapBound) {

    static List<ServiceSummary> aggregate(List<RouterStatusDocument> routers) {
        Map<String, ServiceSummary> summaries = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Service service : router.services()) {
                ServiceSummary summary = new ServiceSummary(
                        service.name(), service.freeSlots(), service.waiting(), service.gap(), service.gapBound());
                summaries.merge(summary.name(), summary, ServiceSummary::mergedWith);
            }
        }
        return List.copyOf(summaries.values());
    }

    private ServiceSummary mergedWith(ServiceSummary other) {
        return new ServiceSummary(
                name,
                freeSlots + other.freeSlots,
                waiting + other.waiting,
                Math.max(gap, other.gap),
                Math.max(gapBound, other.gapBound));
    }
}
