package org.mangowall.policy.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.CounterSnapshot.OriginCharge;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.WorkspaceShare;

/**
 * The accounts of all workspaces for one service, as one router knows them.
 *
 * <p>Each incarnation of a router owns two counters for each workspace: the cost charged and the cost refunded. Both
 * only grow and are merged by maximum (a PN-counter), so that messages may be duplicated or reordered. Charged less
 * refunded cost, summed over all incarnations, plus the lift is the workspace's virtual time.
 */
public final class ShareLedger {

    private static final long IDLE_THRESHOLD_MILLISECONDS = 2_000;

    private final RouterIdentity self;
    private final Map<WorkspaceName, WorkspaceAccount> accounts = new TreeMap<>();
    private final CostEstimate serviceEstimate = new CostEstimate();
    private final ServedRate rate = new ServedRate();
    private double largestDispatchedVirtualTime;

    /** Creates a ledger without accounts. */
    public ShareLedger(RouterIdentity self) {
        this.self = self;
    }

    private WorkspaceAccount account(WorkspaceName workspace) {
        return accounts.computeIfAbsent(workspace, WorkspaceAccount::new);
    }

    /** The virtual time of a workspace. */
    public double virtualTime(WorkspaceName workspace) {
        return account(workspace).virtualTime();
    }

    /** The cost divided by weight that the fleet has charged to a workspace. */
    public double served(WorkspaceName workspace) {
        return account(workspace).served();
    }

    /** The workspaces that have an account. */
    public Collection<WorkspaceName> workspaces() {
        return accounts.keySet();
    }

    /** The estimated cost of a request; a hint of 0 means none. */
    public double estimateCost(WorkspaceName workspace, double hint) {
        double prior = serviceEstimate.value(hint);
        return account(workspace).estimate().value(prior);
    }

    /** The average cost of a request of the service. */
    public double meanCost() {
        return serviceEstimate.mean();
    }

    /** The largest cost of a request so far. */
    public double largestCost() {
        return serviceEstimate.largest();
    }

    /** The cost divided by weight that the fleet serves per second, as far as known. */
    public double servedPerSecond(long now) {
        return rate.perSecond(now);
    }

    /** Charges a cost, already divided by weight. */
    public void charge(WorkspaceName workspace, double costPerWeight) {
        if (costPerWeight > 0) {
            account(workspace).charge(costPerWeight);
            rate.add(costPerWeight);
        }
    }

    /** Refunds a part of the charged cost, already divided by weight. */
    public void refund(WorkspaceName workspace, double costPerWeight) {
        if (costPerWeight > 0) {
            account(workspace).refund(costPerWeight);
            rate.add(-costPerWeight);
        }
    }

    /** Records the total cost of a completed request for later estimates. */
    public void recordCost(WorkspaceName workspace, double cost) {
        account(workspace).estimate().record(cost);
        serviceEstimate.record(cost);
    }

    /** Records the virtual time at which a request was sent; the largest one is the floor when no workspace waits. */
    public void recordDispatch(double virtualTime) {
        largestDispatchedVirtualTime = Math.max(largestDispatchedVirtualTime, virtualTime);
    }

    /** Records that a workspace has a backlog: requests that wait, or one refused for a full queue or a timeout. */
    public void markBacklogged(WorkspaceName workspace, long now) {
        account(workspace).markBacklogged(now);
    }

    /**
     * Lifts the virtual time of a workspace that was idle, so that it gains no credit from idling.
     *
     * @param smallestWaitingVirtualTime the smallest one of the workspaces that wait at any home; infinity if none
     * @param maxLag how far a recently backlogged workspace may lag behind
     */
    public void liftOnArrival(WorkspaceName workspace, double smallestWaitingVirtualTime, double maxLag, long now) {
        WorkspaceAccount account = account(workspace);
        double floor = Double.isInfinite(smallestWaitingVirtualTime)
                ? largestDispatchedVirtualTime
                : smallestWaitingVirtualTime;
        boolean isIdle = now - account.lastBacklogged() > IDLE_THRESHOLD_MILLISECONDS;
        account.liftTo(isIdle ? floor : floor - maxLag);
    }

    /** Counts a periodic exchange; call it before asking for the shares that the exchange carries. */
    public void countExchange() {
        accounts.values().forEach(WorkspaceAccount::countExchange);
    }

    /**
     * The shares to send to other homes.
     *
     * @param waiting the waiting requests by workspace
     * @param changedWithin includes the shares that changed within this number of periodic exchanges
     */
    public List<WorkspaceShare> shares(Map<WorkspaceName, Integer> waiting, int changedWithin) {
        List<WorkspaceShare> shares = new ArrayList<>();
        for (WorkspaceAccount account : accounts.values()) {
            int count = waiting.getOrDefault(account.workspace(), 0);
            if (account.unchangedExchanges() < changedWithin || count > 0) {
                shares.add(new WorkspaceShare(
                        account.workspace(), count, account.charged(), account.refunded(), account.lift()));
            }
        }
        return shares;
    }

    /** Merges another router's own counters. */
    public void merge(RouterName router, long incarnation, List<WorkspaceShare> shares, long now) {
        WorkspaceAccount.Origin origin = new WorkspaceAccount.Origin(router, incarnation);
        for (WorkspaceShare share : shares) {
            WorkspaceAccount account = account(share.workspace());
            double before = account.served();
            account.merge(origin, share.charged(), share.refunded());
            rate.add(account.served() - before);
            account.mergeLift(share.lift());
            if (share.waiting() > 0) {
                account.markBacklogged(now);
            }
        }
    }

    /** All counters, for a router that starts without any. */
    public CounterSnapshot snapshot(ServiceName service) {
        List<OriginCharge> charges = new ArrayList<>();
        for (WorkspaceAccount account : accounts.values()) {
            charges.add(new OriginCharge(
                    self.name(),
                    self.incarnation(),
                    account.workspace(),
                    account.charged(),
                    account.refunded(),
                    account.lift()));
            account.others()
                    .forEach((origin, counters) -> charges.add(new OriginCharge(
                            origin.router(),
                            origin.incarnation(),
                            account.workspace(),
                            counters.charged(),
                            counters.refunded(),
                            account.lift())));
        }
        return new CounterSnapshot(self.name(), service, charges);
    }

    /** Merges all counters known to another router. */
    public void merge(CounterSnapshot snapshot) {
        for (OriginCharge charge : snapshot.charges()) {
            WorkspaceAccount account = account(charge.workspace());
            account.mergeLift(charge.lift());
            WorkspaceAccount.Origin origin = new WorkspaceAccount.Origin(charge.origin(), charge.incarnation());
            if (charge.origin().equals(self.name()) && charge.incarnation() == self.incarnation()) {
                account.restoreOwn(charge.charged(), charge.refunded());
            } else {
                account.merge(origin, charge.charged(), charge.refunded());
            }
        }
    }
}
