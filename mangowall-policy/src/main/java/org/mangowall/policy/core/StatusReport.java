package org.mangowall.policy.core;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.DecisionStatus.RunnerStatus;
import org.mangowall.policy.DecisionStatus.ServiceStatus;
import org.mangowall.policy.DecisionStatus.ShareStatus;
import org.mangowall.policy.core.RunnerPool.HomedRunner;

/** Draws the picture of a decision core for operators. */
final class StatusReport {

    private StatusReport() {}

    static DecisionStatus of(CoreContext context, HomeRole home, PeerBook peers) {
        List<RunnerStatus> runners = new ArrayList<>();
        List<ShareStatus> shares = new ArrayList<>();
        List<ServiceStatus> services = new ArrayList<>();
        for (ServiceState service : home.services()) {
            for (HomedRunner runner : service.pool().runners()) {
                if (runner.isHomed()) {
                    runners.add(describe(context, service, runner));
                }
            }
            List<ShareStatus> ofService = shares(context, service, peers);
            shares.addAll(ofService);
            services.add(describe(context, service, peers, ofService));
        }
        return new DecisionStatus(context.inventory().version(), runners, shares, services);
    }

    private static RunnerStatus describe(CoreContext context, ServiceState service, HomedRunner runner) {
        return new RunnerStatus(
                runner.runner().name(),
                service.name(),
                context.self(),
                runner.limit().limit(),
                runner.limit().running(),
                runner.limit().reported(),
                runner.mayGetWork());
    }

    private static List<ShareStatus> shares(CoreContext context, ServiceState service, PeerBook peers) {
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
                    service.ledger().tag(workspace)));
        }
        return shares;
    }

    private static ServiceStatus describe(
            CoreContext context, ServiceState service, PeerBook peers, List<ShareStatus> shares) {
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
                service.pool().free(context.now()),
                service.queue().size(),
                Math.max(0, largest - smallest),
                GapBound.of(context, service, peers));
    }
}
