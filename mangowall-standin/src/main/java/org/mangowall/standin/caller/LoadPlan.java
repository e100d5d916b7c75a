package org.mangowall.standin.caller;

import org.mangowall.inventory.ServiceKind;

/**
 * The load that one workspace makes on one service.
 *
 * @param workspace the workspace
 * @param service the service
 * @param kind the kind of the service
 * @param concurrency the calls that are always open in a closed loop; 0 for an open loop
 * @param callsPerSecond the rate of an open loop; unused in a closed one
 * @param maximumTokens the most tokens that a model call asks for
 * @param promptWords the words of a prompt
 * @param stream whether model calls ask for a stream
 * @param method the method of plain calls
 * @param keyed whether calls carry an idempotency key
 * @param tries how often a keyed call is sent until its outcome is known
 * @param direct whether calls go to the runners and past the routers
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
        int tries,
        boolean direct) {

    /** Whether a closed loop makes the load. */
    public boolean isClosedLoop() {
        return concurrency > 0;
    }

    /** Whether each call may run at most once. */
    public boolean isAtMostOnce() {
        return kind == ServiceKind.PLAIN && method.equals("POST");
    }
}
