package org.mangowall.policy;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/**
 * All counters of one service known to a router, for a router that starts without any.
 *
 * @param from the router that sends them
 * @param service the service
 * @param charges the counters of every origin
 */
public record CounterSnapshot(RouterName from, ServiceName service, List<OriginCharge> charges) {

    /** Copies the counters. */
    public CounterSnapshot {
        charges = List.copyOf(charges);
    }

    /**
     * The counter of one incarnation of one router for one workspace.
     *
     * @param origin the router that charged
     * @param incarnation its incarnation
     * @param workspace the workspace
     * @param charged as in {@link WorkspaceShare#charged()}
     * @param refunded as in {@link WorkspaceShare#refunded()}
     * @param lift as in {@link WorkspaceShare#lift()}
     */
    public record OriginCharge(
            RouterName origin,
            long incarnation,
            WorkspaceName workspace,
            double charged,
            double refunded,
            double lift) {}
}
