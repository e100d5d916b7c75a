package org.mangowall.command.status;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * A workspace's account for one service over all routers that answered.
 *
 * @param service the service
 * @param workspace the workspace
 * @param weight its weight
 * @param waiting the sum of its waiting requests
 * @param served the cost divided by weight that the fleet has charged, the largest that a router knows
 * @param share the part of the service's cost that it has had, from 0 to 1
 */
public record WorkspaceLine(String service, String workspace, double weight, int waiting, double served, double share) {

    static List<WorkspaceLine> join(List<RouterStatusDocument> routers) {
        Map<String, WorkspaceLine> lines = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Share share : router.shares()) {
                WorkspaceLine line = new WorkspaceLine(
                        share.service(), share.workspace(), share.weight(), share.waitingHere(), share.served(), 0);
                lines.merge(share.service() + "/" + share.workspace(), line, WorkspaceLine::plus);
            }
        }
        return lines.values().stream()
                .map(line -> line.withShareOf(lines.values()))
                .toList();
    }

    private WorkspaceLine plus(WorkspaceLine other) {
        return new WorkspaceLine(
                service, workspace, weight, waiting + other.waiting, Math.max(served, other.served), share);
    }

    private WorkspaceLine withShareOf(Collection<WorkspaceLine> all) {
        double total = all.stream()
                .filter(line -> line.service.equals(service))
                .mapToDouble(WorkspaceLine::cost)
                .sum();
        return new WorkspaceLine(service, workspace, weight, waiting, served, total > 0 ? cost() / total : 0);
    }

    private double cost() {
        return served * weight;
    }
}
