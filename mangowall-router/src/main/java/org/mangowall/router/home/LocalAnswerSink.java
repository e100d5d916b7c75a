package org.mangowall.router.home;

import java.util.List;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;
import org.mangowall.router.caller.EntryRequest;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.AnswerSink;
import org.mangowall.router.runner.RunnerCall;

/** Passes the answer of a runner to a caller of this router, within the flow-control window. */
final class LocalAnswerSink implements AnswerSink, AnswerOrigin {

    private final EntryRequest entryRequest;
    private volatile RunnerCall call;
    private volatile long takenBytes;
    private volatile long sentBytes;

    LocalAnswerSink(EntryRequest entryRequest) {
        this.entryRequest = entryRequest;
    }

    void setCall(RunnerCall runnerCall) {
        call = runnerCall;
    }

    @Override
    public void head(RunnerName runner, int status, List<HeaderField> headers) {
        entryRequest.answerHead(this, runner, status, headers);
    }

    @Override
    public void body(byte[] bytes) {
        sentBytes += bytes.length;
        entryRequest.answerBody(this, bytes);
    }

    @Override
    public void end(long bodyBytes) {
        entryRequest.answerEnd(this, bodyBytes);
    }

    @Override
    public boolean isReady() {
        return entryRequest.isEnded() || sentBytes - takenBytes < WINDOW_BYTES;
    }

    @Override
    public void updateTakenBytes(RequestIdentifier request, long bytes) {
        takenBytes = Math.max(takenBytes, bytes);
        RunnerCall currentCall = call;
        if (currentCall != null) {
            currentCall.resumeIfReady();
        }
    }
}
