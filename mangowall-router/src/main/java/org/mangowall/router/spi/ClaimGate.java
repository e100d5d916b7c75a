package org.mangowall.router.spi;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredAnswer;

/** Claims of idempotency keys, asked before a keyed request that may not be repeated is routed. */
public interface ClaimGate {

    /**
     * Claims a key for a request.
     *
     * @param keyDigest the digest of workspace, service and key
     * @param requestDigest the digest of the request's content
     * @return the verdict; a failed future counts as {@link ClaimVerdict#UNAVAILABLE}
     */
    CompletableFuture<ClaimResult> claim(RequestIdentifier request, String keyDigest, String requestDigest);

    /**
     * Tells how a granted request ended.
     *
     * @param ran false only when it is certain that it has not run
     * @param answer the whole answer when it is known and small enough to keep
     */
    void settle(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer);

    /**
     * The word on a claim.
     *
     * @param verdict what may be done
     * @param answer the answer of the earlier request, if it is kept
     */
    record ClaimResult(ClaimVerdict verdict, Optional<StoredAnswer> answer) {}
}
