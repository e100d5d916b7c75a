package org.mangowall.claims;

import org.mangowall.kernel.name.RequestIdentifier;

/**
 * A claim as stored in its partition's object.
 *
 * @param keyDigest the digest of workspace, service and idempotency key
 * @param requestDigest the digest of the request's content
 * @param request the only request that may run for the key
 * @param state the state of that request
 * @param expiresAtMillis when the claim expires and the key may be claimed again, in milliseconds since the epoch
 */
public record ClaimRecord(
        String keyDigest, String requestDigest, RequestIdentifier request, ClaimState state, long expiresAtMillis) {

    ClaimRecord withState(ClaimState other) {
        return new ClaimRecord(keyDigest, requestDigest, request, other, expiresAtMillis);
    }
}
