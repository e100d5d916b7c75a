package org.mangowall.policy;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;

/**
 * State of one service at one home, sent to the other homes of the service.
 *
 * @param from the home
 * @param incarnation its incarnation
 * @param sequence grows with each exchange of an incarnation; older exchanges are ignored
 * @param service the service
 * @param freeSlots the number of further requests that its runners can take
 * @param waitingRequests the requests that wait at this home
 * @param headVirtualTime the smallest virtual time among the waiting workspaces; positive infinity if none waits
 * @param shares one entry for each workspace with waiting requests or changed counters
 */
public record ServiceExchange(
        RouterName from,
        long incarnation,
        long sequence,
        ServiceName service,
        int freeSlots,
        int waitingRequests,
        double headVirtualTime,
        List<WorkspaceShare> shares) {

    /** Copies the shares. */
    public ServiceExchange {
        shares = List.copyOf(shares);
    }
}
