package org.mangowall.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.RunnerResponse;

/** Hears the answer to one request at a runner. */
interface RunnerListener {

    /** The head of the answer came. */
    void answerBegan(HttpResponse head, RunnerResponse answer);

    /** A part of the body came; it is released afterwards. */
    void answerPart(ByteBuf bytes);

    /** The answer is complete. */
    void answerEnded();

    /** The connection ended or brought something else before the answer was complete. */
    void answerLost(String reason);
}
