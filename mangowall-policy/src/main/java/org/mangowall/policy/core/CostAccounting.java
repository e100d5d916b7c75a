package org.mangowall.policy.core;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.share.ShareLedger;

/** Charges requests to their workspaces: an estimate at dispatch, corrected to the actual cost at the end. */
final class CostAccounting {

    private final CoreContext context;
    private final PeerHomeStates peers;

    CostAccounting(CoreContext context, PeerHomeStates peers) {
        this.context = context;
        this.peers = peers;
    }

    void recordArrival(ServiceState service, RequestDescription request) {
        WorkspaceName workspace = request.workspace();
        long now = context.now();
        boolean isBacklogged = service.queue().sizeOf(workspace) > 0 || peers.waiting(service.name(), workspace) > 0;
        if (!isBacklogged) {
            double smallestVirtualTime =
                    Math.min(service.queue().headVirtualTime(), peers.smallestHeadVirtualTime(service.name()));
            double maxLag = FairnessGapBound.maxLag(context, service, peers);
            service.ledger().liftOnArrival(workspace, smallestVirtualTime, maxLag, now);
        }
    }

    void recordDispatch(ServiceState service, HomeRequest request) {
        ShareLedger ledger = service.ledger();
        WorkspaceName workspace = request.description().workspace();
        ledger.recordDispatch(ledger.virtualTime(workspace));
        ledger.markBacklogged(workspace, context.now());
        double estimate = ledger.estimateCost(workspace, request.description().costHint());
        charge(ledger, request, estimate);
    }

    void recordProgress(ServiceState service, HomeRequest request, double costSoFar) {
        charge(service.ledger(), request, costSoFar - request.chargedCost());
    }

    /** Corrects the charge of an attempt that ended to its actual cost. */
    void settleAttempt(ServiceState service, HomeRequest request, double cost) {
        double excess = request.chargedCost() - cost;
        if (excess <= 0) {
            charge(service.ledger(), request, -excess);
            return;
        }
        double refund = request.chargedCostPerWeight() * (excess / request.chargedCost());
        service.ledger().refund(request.description().workspace(), refund);
        request.charge(-excess, -refund);
    }

    private void charge(ShareLedger ledger, HomeRequest request, double cost) {
        if (cost <= 0) {
            return;
        }
        WorkspaceName workspace = request.description().workspace();
        double costPerWeight = cost / context.weight(workspace);
        ledger.charge(workspace, costPerWeight);
        request.charge(cost, costPerWeight);
    }
}
