package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.DecisionStatus.RunnerStatus;
import org.mangowall.policy.DecisionStatus.ServiceStatus;
import org.mangowall.policy.DecisionStatus.ShareStatus;
import org.mangowall.policy.core.RunnerPool.PooledRunner;

/** Creates the status snapshot of a decision core. */
final class DecisionStatusFactory {

    private DecisionStatusFactory() {}

    static DecisionStatus create(CoreContext context, HomeRole home, PeerHomeStates peers) {
        List<RunnerStatus> runners = new ArrayList<>();
        List<ShareStatus> shares = new ArrayList<>();
        List<ServiceStatus> services = new ArrayList<>();
        for (ServiceState service : home.services()) {
            for (PooledRunner runner : service.pool().runners()) {
                if (runner.isAssigned()) {
                    runners.add(describe(context, service, runner));
                }
            }
            List<ShareStatus> ofService = shares(context, service, peers);
            shares.addAll(ofService);
            services.add(describe(context, service, peers, ofService));
        }
        return new DecisionStatus(context.inventory().version(), runners, shares, services);
    }

    private static RunnerStatus describe(CoreContext context, ServiceState service, PooledRunner runner) {
        return new RunnerStatus(
                runner.runner().name(),
                service.name(),
                context.self(),
                runner.limit().limit(),
                runner.limit().running(),
                runner.limit().lastReported(),
                runner.acceptsRequests());
    }

    private static List<ShareStatus> shares(CoreContext context, ServiceState service, PeerHomeStates peers) {
        List<ShareStatus> shares = new ArrayList<>();
        for (WorkspaceName workspace : service.ledger().workspaces()) {
            int here = service.queue().sizeOf(workspace);
            shares.add(new ShareStatus(
                    service.name(),
                    workspace,
                    context.weight(workspace),
                    here,
                    here + peers.waiting(service.name(), workspace),
                    service.ledger().served(workspace),
                    service.ledger().virtualTime(workspace)));
        }
        return shares;
    }

    private static ServiceStatus describe(
            CoreContext context, ServiceState service, PeerHomeStates peers, List<ShareStatus> shares) {
        double smallest = Double.POSITIVE_INFINITY;
        double largest = Double.NEGATIVE_INFINITY;
        for (ShareStatus share : shares) {
            if (share.waitingFleet() > 0) {
                smallest = Math.min(smallest, share.virtualTime());
                largest = Math.max(largest, share.virtualTime());
            }
        }
        return new ServiceStatus(
                service.name(),
                service.pool().freeSlots(context.now()),
                service.queue().size(),
                Math.max(0, largest - smallest),
                FairnessGapBound.of(context, service, peers));
    }
}
