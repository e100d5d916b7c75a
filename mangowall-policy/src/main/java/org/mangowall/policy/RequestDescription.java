package org.mangowall.policy;

import java.time.Duration;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/**
 * What decisions need to know of a request; its body and headers stay outside.
 *
 * @param identifier the request
 * @param workspace whose share it uses
 * @param service the service it asks for
 * @param repeatable whether it may run more than once without harm
 * @param costHint the caller's rough cost in cost units, 0 when there is none
 * @param prefixHash a hash of the prompt's beginning for prefix affinity, 0 when there is none
 * @param waited how long it has waited at homes so far
 * @param moves how often it has moved between homes
 * @param mayHaveRun whether an earlier try may have reached a runner; a refusal must not deny that
 */
public record RequestDescription(
        RequestIdentifier identifier,
        WorkspaceName workspace,
        ServiceName service,
        boolean repeatable,
        double costHint,
        long prefixHash,
        Duration waited,
        int moves,
        boolean mayHaveRun) {

    /** A request of which no try was made yet. */
    public RequestDescription(
            RequestIdentifier identifier,
            WorkspaceName workspace,
            ServiceName service,
            boolean repeatable,
            double costHint,
            long prefixHash,
            Duration waited,
            int moves) {
        this(identifier, workspace, service, repeatable, costHint, prefixHash, waited, moves, false);
    }

    /** The same request after another wait at a home that released it. */
    public RequestDescription movedAfter(Duration totalWait) {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, totalWait, moves + 1, mayHaveRun);
    }

    /** The same request after it waited at its entry. */
    public RequestDescription afterWait(Duration totalWait) {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, totalWait, moves, mayHaveRun);
    }

    /** The same request after a try that may have reached a runner. */
    public RequestDescription afterUncertainTry() {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, waited, moves, true);
    }
}
