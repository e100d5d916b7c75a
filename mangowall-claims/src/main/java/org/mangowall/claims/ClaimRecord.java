package org.mangowall.claims;

import org.mangowall.kernel.name.RequestIdentifier;

/**
 * One claim as its partition's object keeps it.
 *
 * @param keyDigest the digest of workspace, service and key
 * @param requestDigest the digest of the request's content
 * @param request the request that alone may run
 * @param state how far it has come
 * @param expiresAtMillis when the key may be used anew, in milliseconds since the epoch
 */
public record ClaimRecord(
        String keyDigest, String requestDigest, RequestIdentifier request, ClaimState state, long expiresAtMillis) {

    ClaimRecord withState(ClaimState other) {
        return new ClaimRecord(keyDigest, requestDigest, request, other, expiresAtMillis);
    }
}
