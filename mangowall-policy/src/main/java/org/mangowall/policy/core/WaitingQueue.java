package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.core.PolicyTraits.QueueOrder;
import org.mangowall.policy.share.ShareLedger;

/** The queued requests of one service at one home, by workspace. */
final class WaitingQueue {

    private final QueueOrder order;
    private final ShareLedger ledger;
    private final Map<WorkspaceName, TreeSet<HomeRequest>> waiting = new TreeMap<>();
    private int size;

    WaitingQueue(QueueOrder order, ShareLedger ledger) {
        this.order = order;
        this.ledger = ledger;
    }

    void add(HomeRequest request) {
        boolean added = waiting.computeIfAbsent(
                        request.description().workspace(), name -> new TreeSet<>(HomeRequest.BY_AGE))
                .add(request);
        size += added ? 1 : 0;
    }

    void remove(HomeRequest request) {
        WorkspaceName workspace = request.description().workspace();
        TreeSet<HomeRequest> queued = waiting.get(workspace);
        if (queued == null || !queued.remove(request)) {
            return;
        }
        size--;
        if (queued.isEmpty()) {
            waiting.remove(workspace);
        }
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    int sizeOf(WorkspaceName workspace) {
        TreeSet<HomeRequest> queued = waiting.get(workspace);
        return queued == null ? 0 : queued.size();
    }

    Collection<WorkspaceName> workspaces() {
        return waiting.keySet();
    }

    Map<WorkspaceName, Integer> sizes() {
        Map<WorkspaceName, Integer> sizes = new HashMap<>();
        waiting.forEach((workspace, queued) -> sizes.put(workspace, queued.size()));
        return sizes;
    }

    /** The next request to serve; null if none waits. */
    HomeRequest head() {
        return order == QueueOrder.FAIR ? fairHead() : oldest();
    }

    private HomeRequest fairHead() {
        HomeRequest head = null;
        double smallest = Double.POSITIVE_INFINITY;
        for (Map.Entry<WorkspaceName, TreeSet<HomeRequest>> queued : waiting.entrySet()) {
            double virtualTime = ledger.virtualTime(queued.getKey());
            if (head == null || virtualTime < smallest) {
                head = queued.getValue().first();
                smallest = virtualTime;
            }
        }
        return head;
    }

    private HomeRequest oldest() {
        HomeRequest head = null;
        for (TreeSet<HomeRequest> queued : waiting.values()) {
            HomeRequest candidate = queued.first();
            if (head == null || HomeRequest.BY_AGE.compare(candidate, head) < 0) {
                head = candidate;
            }
        }
        return head;
    }

    /** The smallest virtual time of a waiting workspace; infinity if none waits. */
    double headVirtualTime() {
        double smallest = Double.POSITIVE_INFINITY;
        for (WorkspaceName workspace : waiting.keySet()) {
            smallest = Math.min(smallest, ledger.virtualTime(workspace));
        }
        return smallest;
    }

    /** All waiting requests of a workspace, the oldest first. */
    List<HomeRequest> of(WorkspaceName workspace) {
        TreeSet<HomeRequest> queued = waiting.get(workspace);
        return queued == null ? List.of() : new ArrayList<>(queued);
    }

    /** The requests that have waited since before an instant, in milliseconds of the clock. */
    List<HomeRequest> waitingSinceBefore(long instant) {
        List<HomeRequest> found = new ArrayList<>();
        for (TreeSet<HomeRequest> queued : waiting.values()) {
            for (HomeRequest request : queued) {
                if (request.waitingSince() >= instant) {
                    break;
                }
                found.add(request);
            }
        }
        return found;
    }

    /** All waiting requests. */
    List<HomeRequest> all() {
        List<HomeRequest> all = new ArrayList<>(size);
        waiting.values().forEach(all::addAll);
        return all;
    }
}
