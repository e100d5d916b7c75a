package org.mangowall.router.caller;

import java.util.Optional;

import org.mangowall.inventory.Service;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.router.runner.RequestContent;

/**
 * A caller's request after all checks.
 *
 * @param workspace whose share it uses
 * @param service the service
 * @param content what the runner gets
 * @param repeatable whether it may run more than once without harm
 * @param costHint the caller's rough cost, 0 when there is none
 * @param prefixHash a hash of the prompt's beginning, 0 when there is none
 * @param idempotencyKey the caller's key, if there is one
 */
record ParsedRequest(
        WorkspaceName workspace,
        Service service,
        RequestContent content,
        boolean repeatable,
        double costHint,
        long prefixHash,
        Optional<String> idempotencyKey) {}
