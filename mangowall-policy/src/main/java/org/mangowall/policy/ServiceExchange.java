package org.mangowall.policy;

import java.util.List;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;

/**
 * What one home tells the others about one service.
 *
 * @param from the home
 * @param incarnation its incarnation
 * @param sequence grows with each exchange of an incarnation; an older one is dropped
 * @param service the service
 * @param freeSlots the requests that its runners would bear on top of those running
 * @param waitingRequests the requests that wait at this home
 * @param headTag the smallest virtual time among the waiting workspaces; positive infinity when none waits
 * @param shares one entry for each workspace that waits or whose counters changed
 */
public record ServiceExchange(
        RouterName from,
        long incarnation,
        long sequence,
        ServiceName service,
        int freeSlots,
        int waitingRequests,
        double headTag,
        List<WorkspaceShare> shares) {

    /** Copies the shares. */
    public ServiceExchange {
        shares = List.copyOf(shares);
    }
}
