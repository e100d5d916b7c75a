package org.mangowall.router.spi;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredResponse;

/** Claims idempotency keys before a non-repeatable request that carries one is routed. */
public interface ClaimService {

    /**
     * Claims an idempotency key for a request.
     *
     * @param keyDigest the digest of workspace, service and idempotency key
     * @param requestDigest the digest of the request's content
     * @return the verdict; a failed future counts as {@link ClaimVerdict#UNAVAILABLE}
     */
    CompletableFuture<ClaimResult> claim(RequestIdentifier request, String keyDigest, String requestDigest);

    /**
     * Records the outcome of a request whose claim was granted.
     *
     * @param ran false only if the request has certainly not run
     * @param answer the complete answer, if it is known and small enough to store
     */
    void settle(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer);

    /**
     * The result of a claim.
     *
     * @param verdict whether the request may run
     * @param answer the stored answer of the earlier request, if there is one
     */
    record ClaimResult(ClaimVerdict verdict, Optional<StoredResponse> answer) {}
}
