package org.mangowall.policy.core;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.share.ShareLedger;

/** Charges requests to their workspaces, from the estimate at dispatch to the cost at the end. */
final class Accounting {

    private final CoreContext context;
    private final PeerBook peers;

    Accounting(CoreContext context, PeerBook peers) {
        this.context = context;
        this.peers = peers;
    }

    void arrive(ServiceState service, RequestDescription request) {
        WorkspaceName workspace = request.workspace();
        long now = context.now();
        boolean waits = service.queue().sizeOf(workspace) > 0 || peers.waiting(service.name(), workspace) > 0;
        if (!waits) {
            double smallest = Math.min(service.queue().headTag(), peers.smallestHeadTag(service.name()));
            double lag = GapBound.lag(context, service, peers);
            service.ledger().arrive(workspace, smallest, lag, now);
        }
    }

    void dispatched(ServiceState service, HomeRequest request) {
        ShareLedger ledger = service.ledger();
        WorkspaceName workspace = request.description().workspace();
        ledger.dispatched(ledger.tag(workspace));
        ledger.markBacklogged(workspace, context.now());
        double estimate = ledger.estimate(workspace, request.description().costHint());
        charge(ledger, request, estimate);
    }

    void progressed(ServiceState service, HomeRequest request, double costSoFar) {
        charge(service.ledger(), request, costSoFar - request.chargedCost());
    }

    /** Settles a try that ended with its cost. */
    void settle(ServiceState service, HomeRequest request, double cost) {
        double excess = request.chargedCost() - cost;
        if (excess <= 0) {
            charge(service.ledger(), request, -excess);
            return;
        }
        double refund = request.chargedByWeight() * (excess / request.chargedCost());
        service.ledger().refund(request.description().workspace(), refund);
        request.charge(-excess, -refund);
    }

    private void charge(ShareLedger ledger, HomeRequest request, double cost) {
        if (cost <= 0) {
            return;
        }
        WorkspaceName workspace = request.description().workspace();
        double byWeight = cost / context.weight(workspace);
        ledger.charge(workspace, byWeight);
        request.charge(cost, byWeight);
    }
}
