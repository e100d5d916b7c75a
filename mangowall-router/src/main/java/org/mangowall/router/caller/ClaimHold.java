package org.mangowall.router.caller;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.failure.RequestOutcome;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.protocol.HeaderField;
import org.mangowall.protocol.StoredAnswer;
import org.mangowall.router.spi.ClaimGate;

/** The claim of a keyed request: keeps its answer while that is small, and settles the claim at the end. */
final class ClaimHold {

    private static final int MAXIMUM_KEPT_BYTES = 64 * 1024;

    private final ClaimGate gate;
    private final RequestIdentifier request;
    private final String keyDigest;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile boolean granted;
    private int status;
    private List<HeaderField> headers = List.of();
    private boolean tooLarge;

    ClaimHold(ClaimGate gate, RequestIdentifier request, String keyDigest) {
        this.gate = gate;
        this.request = request;
        this.keyDigest = keyDigest;
    }

    void grant() {
        granted = true;
    }

    void head(int answerStatus, List<HeaderField> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    void body(byte[] bytes) {
        tooLarge |= body.size() + bytes.length > MAXIMUM_KEPT_BYTES;
        if (!tooLarge) {
            body.writeBytes(bytes);
        }
    }

    void completed() {
        Optional<StoredAnswer> answer =
                tooLarge ? Optional.empty() : Optional.of(new StoredAnswer(status, headers, body.toByteArray()));
        gate.settle(request, keyDigest, true, answer);
    }

    void failed(RequestOutcome outcome) {
        if (granted) {
            gate.settle(request, keyDigest, outcome != RequestOutcome.NOT_RUN, Optional.empty());
        }
    }
}
