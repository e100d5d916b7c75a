package org.mangowall.router.caller;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.StoredResponse;
import org.mangowall.router.spi.ClaimService;

/** The claim on a request's idempotency key: records a small answer for replays and settles the claim at the end. */
final class RequestClaim {

    private static final int MAXIMUM_STORED_BODY_BYTES = 64 * 1024;

    private final ClaimService claimService;
    private final RequestIdentifier request;
    private final String keyDigest;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile boolean granted;
    private int status;
    private List<HeaderField> headers = List.of();
    private boolean tooLarge;

    RequestClaim(ClaimService claimService, RequestIdentifier request, String keyDigest) {
        this.claimService = claimService;
        this.request = request;
        this.keyDigest = keyDigest;
    }

    void markGranted() {
        granted = true;
    }

    void recordHead(int answerStatus, List<HeaderField> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    void recordBody(byte[] bytes) {
        tooLarge |= body.size() + bytes.length > MAXIMUM_STORED_BODY_BYTES;
        if (!tooLarge) {
            body.writeBytes(bytes);
        }
    }

    void settleCompleted() {
        Optional<StoredResponse> answer =
                tooLarge ? Optional.empty() : Optional.of(new StoredResponse(status, headers, body.toByteArray()));
        claimService.settle(request, keyDigest, true, answer);
    }

    void settleFailed(RequestOutcome outcome) {
        if (granted) {
            claimService.settle(request, keyDigest, outcome != RequestOutcome.NOT_RUN, Optional.empty());
        }
    }
}
