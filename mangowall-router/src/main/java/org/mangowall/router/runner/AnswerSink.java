package org.mangowall.router.runner;

import java.util.List;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.HeaderField;

/** Where the answer of a runner goes; called on one network thread. */
public interface AnswerSink {

    /** The answer begins. */
    void head(RunnerName runner, int status, List<HeaderField> headers);

    /** A piece of its body. */
    void body(byte[] bytes);

    /** It is whole. */
    void end(long bodyBytes);

    /** Whether more can go on without piling up. */
    boolean isReady();
}
