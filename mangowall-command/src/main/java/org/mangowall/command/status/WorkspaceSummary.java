package org.mangowall.command.status;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * The use of one service by a workspace, aggregated over all routers that returned a status.
 *
 * @param service the service
 * @param workspace the workspace
 * @param weight the weight of the workspace
 * @param waiting its requests that wait on all routers
 * @param served the cost charged by the whole fleet, divided by the weight; the largest value that any router reports
 * @param share its part of the cost charged for the service, from 0 to 1
 */
public record WorkspaceSummary(
        String service, String workspace, double weight, int waiting, double served, double share) {

    static List<WorkspaceSummary> aggregate(List<RouterStatusDocument> routers) {
        Map<String, WorkspaceSummary> summaries = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Share share : router.shares()) {
                WorkspaceSummary summary = new WorkspaceSummary(
                        share.service(), share.workspace(), share.weight(), share.waitingHere(), share.served(), 0);
                summaries.merge(share.service() + "/" + share.workspace(), summary, WorkspaceSummary::mergedWith);
            }
        }
        return summaries.values().stream()
                .map(summary -> summary.withShareAmong(summaries.values()))
                .toList();
    }

    private WorkspaceSummary mergedWith(WorkspaceSummary other) {
        return new WorkspaceSummary(
                service, workspace, weight, waiting + other.waiting, Math.max(served, other.served), share);
    }

    private WorkspaceSummary withShareAmong(Collection<WorkspaceSummary> all) {
        double total = all.stream()
                .filter(summary -> summary.service.equals(service))
                .mapToDouble(WorkspaceSummary::cost)
                .sum();
        return new WorkspaceSummary(service, workspace, weight, waiting, served, total > 0 ? cost() / total : 0);
    }

    private double cost() {
        return served * weight;
    }
}
