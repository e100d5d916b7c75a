package org.mangowall.standin.caller;

import org.mangowall.inventory.ServiceKind;

/**
 * The load that one workspace puts on one service.
 *
 * @param workspace the workspace
 * @param service the service
 * @param kind the kind of the service
 * @param concurrency the number of concurrent calls of a closed loop; 0 for an open loop
 * @param callsPerSecond the call rate of an open loop; unused in a closed loop
 * @param maximumTokens the token limit of a model call
 * @param promptWords the number of words in a prompt
 * @param stream whether model calls request a stream
 * @param method the HTTP method of plain calls
 * @param keyed whether calls carry an idempotency key
 * @param maximumAttempts the maximum number of attempts of a call with an idempotency key
 * @param direct whether calls bypass the routers and go to the runners
 */
public record LoadPlan(
        String workspace,
        String service,
        ServiceKind kind,
        int concurrency,
        double callsPerSecond,
        int maximumTokens,
        int promptWords,
        boolean stream,
        String method,
        boolean keyed,
        int maximumAttempts,
        boolean direct) {

    /** Returns whether the load is a closed loop, which starts a call when another ends. */
    public boolean isClosedLoop() {
        return concurrency > 0;
    }

    /** Returns whether each call may be executed at most once. */
    public boolean isAtMostOnce() {
        return kind == ServiceKind.PLAIN && method.equals("POST");
    }
}
