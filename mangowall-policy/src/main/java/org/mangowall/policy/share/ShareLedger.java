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
 * <p>Each incarnation of a router owns two counters for each workspace, what it charged and what it gave back. Both
 * only grow and are merged by maximum, so that messages may come twice or out of order. The sum over all incarnations
 * and the lift is the workspace's virtual time, its tag.
 */
public final class ShareLedger {

    private static final long IDLE_MILLISECONDS = 2_000;

    private final RouterIdentity self;
    private final Map<WorkspaceName, WorkspaceAccount> accounts = new TreeMap<>();
    private final CostEstimate serviceEstimate = new CostEstimate();
    private final ServedRate rate = new ServedRate();
    private double idleFloor;

    /** Starts without any account. */
    public ShareLedger(RouterIdentity self) {
        this.self = self;
    }

    private WorkspaceAccount account(WorkspaceName workspace) {
        return accounts.computeIfAbsent(workspace, WorkspaceAccount::new);
    }

    /** The virtual time of a workspace. */
    public double tag(WorkspaceName workspace) {
        return account(workspace).tag();
    }

    /** The cost by weight that the fleet has charged to a workspace. */
    public double served(WorkspaceName workspace) {
        return account(workspace).served();
    }

    /** The workspaces that have an account. */
    public Collection<WorkspaceName> workspaces() {
        return accounts.keySet();
    }

    /** The probable cost of a request. */
    public double estimate(WorkspaceName workspace, double hint) {
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

    /** The cost by weight that the fleet serves in a second, as far as known. */
    public double servedPerSecond(long now) {
        return rate.perSecond(now);
    }

    /** Charges a cost, already divided by weight. */
    public void charge(WorkspaceName workspace, double costByWeight) {
        if (costByWeight > 0) {
            account(workspace).charge(costByWeight);
            rate.add(costByWeight);
        }
    }

    /** Gives back a part of what was charged, already divided by weight. */
    public void refund(WorkspaceName workspace, double costByWeight) {
        if (costByWeight > 0) {
            account(workspace).refund(costByWeight);
            rate.add(-costByWeight);
        }
    }

    /** Learns the whole cost of a request that ended. */
    public void learn(WorkspaceName workspace, double cost) {
        account(workspace).estimate().record(cost);
        serviceEstimate.record(cost);
    }

    /** Notes the tag at which a request was sent, from which the floor follows when nothing waits. */
    public void dispatched(double tag) {
        idleFloor = Math.max(idleFloor, tag);
    }

    /** Notes that a workspace waits, or was refused by the bound of its queue. */
    public void markBacklogged(WorkspaceName workspace, long now) {
        account(workspace).markBacklogged(now);
    }

    /**
     * Lifts a workspace that comes back to work, so that idling saves no credit.
     *
     * @param smallestWaiting the smallest tag of the workspaces that wait anywhere; infinity when none does
     * @param largestLag how far a workspace that was backlogged just now may lag behind
     */
    public void arrive(WorkspaceName workspace, double smallestWaiting, double largestLag, long now) {
        WorkspaceAccount account = account(workspace);
        double floor = Double.isInfinite(smallestWaiting) ? idleFloor : smallestWaiting;
        boolean idle = now - account.lastBacklogged() > IDLE_MILLISECONDS;
        account.liftTo(idle ? floor : floor - largestLag);
    }

    /** Notes that an exchange in turn is made; the shares that it should tell are to be asked for afterwards. */
    public void countExchange() {
        accounts.values().forEach(WorkspaceAccount::countExchange);
    }

    /**
     * The shares to tell others.
     *
     * @param waiting the waiting requests by workspace
     * @param exchanges tells the shares that have changed within so many exchanges in turn
     */
    public List<WorkspaceShare> shares(Map<WorkspaceName, Integer> waiting, int exchanges) {
        List<WorkspaceShare> shares = new ArrayList<>();
        for (WorkspaceAccount account : accounts.values()) {
            int count = waiting.getOrDefault(account.workspace(), 0);
            if (account.unchangedExchanges() < exchanges || count > 0) {
                shares.add(new WorkspaceShare(
                        account.workspace(), count, account.charged(), account.refunded(), account.lift()));
            }
        }
        return shares;
    }

    /** Merges what another router tells of its own counters. */
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

    /** All counters, for a router that starts with none. */
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

    /** Merges all counters that another router knows. */
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
