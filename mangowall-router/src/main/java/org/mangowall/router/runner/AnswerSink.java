package org.mangowall.router.runner;

import java.util.List;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;

/** Receives the answer of a runner; called on a single network thread. */
public interface AnswerSink {

    /** Receives the status and the header fields of the answer. */
    void head(RunnerName runner, int status, List<HeaderField> headers);

    /** Receives the next piece of the body. */
    void body(byte[] bytes);

    /** Ends a complete answer with the length of its body. */
    void end(long bodyBytes);

    /** Whether the sink accepts more body bytes without unbounded buffering. */
    boolean isReady();
}
