package org.mangowall.router.home;

import java.util.List;

import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;
import org.mangowall.router.caller.EntryRequest;
import org.mangowall.router.runner.AnswerOrigin;
import org.mangowall.router.runner.AnswerSink;
import org.mangowall.router.runner.RunnerCall;

/** Passes an answer to a caller of this router. */
final class LocalAnswer implements AnswerSink, AnswerOrigin {

    private final EntryRequest entry;
    private volatile RunnerCall call;
    private volatile long takenBytes;
    private volatile long sentBytes;

    LocalAnswer(EntryRequest entry) {
        this.entry = entry;
    }

    void setCall(RunnerCall runnerCall) {
        call = runnerCall;
    }

    @Override
    public void head(RunnerName runner, int status, List<HeaderField> headers) {
        entry.answerHead(this, runner, status, headers);
    }

    @Override
    public void body(byte[] bytes) {
        sentBytes += bytes.length;
        entry.answerBody(this, bytes);
    }

    @Override
    public void end(long bodyBytes) {
        entry.answerEnd(this, bodyBytes);
    }

    @Override
    public boolean isReady() {
        return entry.isEnded() || sentBytes - takenBytes < WINDOW_BYTES;
    }

    @Override
    public void taken(RequestIdentifier request, long bytes) {
        takenBytes = Math.max(takenBytes, bytes);
        RunnerCall running = call;
        if (running != null) {
            running.resumeIfReady();
        }
    }
}
