package org.mangowall.router.operator;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.operator.ExplanationDocument;
import org.mangowall.protocol.operator.RouterStatusDocument;
import org.mangowall.router.caller.LifecycleState;
import org.mangowall.router.decision.DecisionRecords;

/**
 * Builds the status and explanation documents for operators.
 *
 * @param identity the identity of this router
 * @param state the lifecycle state of this router
 * @param inventory the configuration in force
 * @param view the fleet as this router sees it
 * @param status the latest status of the decision core
 * @param records the recorded recent decisions
 */
public record OperatorDocuments(
        RouterIdentity identity,
        Supplier<LifecycleState> state,
        Supplier<Inventory> inventory,
        Supplier<FleetView> view,
        Supplier<DecisionStatus> status,
        DecisionRecords records) {

    RouterStatusDocument statusDocument() {
        DecisionStatus current = status.get();
        LifecycleState ownState = state.get();
        boolean leaving = ownState == LifecycleState.LEAVING || ownState == LifecycleState.DRAINING;
        return new RouterStatusDocument(
                identity.name().value(),
                identity.zone().value(),
                identity.incarnation(),
                leaving ? "leaving" : "alive",
                ownState == LifecycleState.SERVING,
                inventory.get().version(),
                view.get().members().values().stream()
                        .map(OperatorDocuments::member)
                        .toList(),
                current.runners().stream().map(this::runner).toList(),
                current.services().stream().map(OperatorDocuments::service).toList(),
                current.shares().stream().map(OperatorDocuments::share).toList());
    }

    private static RouterStatusDocument.Member member(FleetMember member) {
        return new RouterStatusDocument.Member(
                member.name().value(),
                member.zone().value(),
                member.incarnation(),
                member.state().name().toLowerCase(Locale.ROOT),
                member.host() + ":" + member.callerPort());
    }

    private RouterStatusDocument.Runner runner(DecisionStatus.RunnerStatus runner) {
        String zone = inventory
                .get()
                .runner(runner.runner())
                .map(found -> found.zone().value())
                .orElse("");
        return new RouterStatusDocument.Runner(
                runner.runner().value(),
                runner.service().value(),
                zone,
                runner.limit(),
                runner.running(),
                runner.reported(),
                runner.open());
    }

    private static RouterStatusDocument.Service service(DecisionStatus.ServiceStatus service) {
        return new RouterStatusDocument.Service(
                service.service().value(),
                service.freeSlotsHere(),
                service.waitingHere(),
                service.gap(),
                service.gapBound());
    }

    private static RouterStatusDocument.Share share(DecisionStatus.ShareStatus share) {
        return new RouterStatusDocument.Share(
                share.service().value(),
                share.workspace().value(),
                share.weight(),
                share.waitingHere(),
                share.waitingFleet(),
                share.served());
    }

    ExplanationDocument explanation(String request) {
        try {
            return new ExplanationDocument(request, records.of(RequestIdentifier.parse(request)));
        } catch (MangowallException failure) {
            return new ExplanationDocument(request, List.of());
        }
    }
}
