package org.mangowall.claims;

import java.util.Optional;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.ClaimVerdict;
import org.mangowall.protocol.StoredAnswer;

/** Something that a claims core orders. */
public sealed interface ClaimAction {

    /** Read the object of a partition. */
    record ReadObject(int partition) implements ClaimAction {}

    /** Write the object of a partition if its version is the expected one; never repeat this by yourself. */
    record WriteObject(int partition, long expectedVersion, byte[] content) implements ClaimAction {}

    /** Tell the entry of a request the word on its claim. */
    record AnswerClaim(RequestIdentifier request, ClaimVerdict verdict, Optional<StoredAnswer> answer)
            implements ClaimAction {}
}
