package org.mangowall.claims;

import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredResponse;

/** An action that the caller of {@link ClaimsCore} has to carry out. */
public sealed interface ClaimAction {

    /** Read the object of a partition. */
    record ReadObject(int partition) implements ClaimAction {}

    /** Write the object of a partition if its version is the expected one; the caller must not retry the write. */
    record WriteObject(int partition, long expectedVersion, byte[] content) implements ClaimAction {}

    /** Send the verdict on a claim, with the cached answer if there is one, to the entry router of the request. */
    record AnswerClaim(RequestIdentifier request, ClaimVerdict verdict, Optional<StoredResponse> answer)
            implements ClaimAction {}
}
