package org.mangowall.policy;

import java.time.Duration;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;

/**
 * Properties of a request that scheduling decisions depend on, without its body and headers.
 *
 * @param identifier its identifier
 * @param workspace the workspace that it is charged to
 * @param service the requested service
 * @param repeatable whether it may run more than once without harm
 * @param costHint the caller's cost estimate in cost units, 0 if there is none
 * @param prefixHash a hash of the beginning of the prompt for prefix affinity, 0 if there is none
 * @param waited the total time it has waited so far
 * @param moves the number of times it has moved between homes
 * @param mayHaveRun whether an earlier attempt may have reached a runner; a refusal must not claim that it did not run
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

    /** Creates a request without an earlier attempt. */
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

    /** Returns this request after a home released it, with its total waiting time. */
    public RequestDescription afterMove(Duration totalWait) {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, totalWait, moves + 1, mayHaveRun);
    }

    /** Returns this request after it waited at its entry, with its total waiting time. */
    public RequestDescription afterWait(Duration totalWait) {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, totalWait, moves, mayHaveRun);
    }

    /** Returns this request after an attempt that may have reached a runner. */
    public RequestDescription afterUncertainAttempt() {
        return new RequestDescription(
                identifier, workspace, service, repeatable, costHint, prefixHash, waited, moves, true);
    }
}
