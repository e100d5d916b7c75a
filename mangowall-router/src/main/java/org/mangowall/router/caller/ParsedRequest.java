package org.mangowall.router.caller;

import java.util.Optional;

import org.mangowall.inventory.Service;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.router.runner.RequestContent;

/**
 * A validated request of a caller.
 *
 * @param workspace the workspace whose share of the capacity it uses
 * @param service the service that is to run it
 * @param content the method, path, header fields and body that are forwarded to the runner
 * @param repeatable whether it is safe to run more than once
 * @param costHint the caller's estimate of its cost, 0 when there is none
 * @param prefixHash a hash of the beginning of the prompt, 0 when there is none
 * @param idempotencyKey the caller's idempotency key, if there is one
 */
record ParsedRequest(
        WorkspaceName workspace,
        Service service,
        RequestContent content,
        boolean repeatable,
        double costHint,
        long prefixHash,
        Optional<String> idempotencyKey) {}
