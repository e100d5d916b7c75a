package org.mangowall.edge.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.mangowall.edge.model.RunnerResponse;

/** Receives the response to one request sent to a runner. */
interface RunnerResponseListener {

    /** A response to another request was received before the one to this request; it is skipped. */
    default void strayResponseReceived(RunnerResponse response) {}

    /** The response head was received. */
    void headReceived(HttpResponse head, RunnerResponse response);

    /** Part of the body was received; the buffer is released after this call. */
    void bodyReceived(ByteBuf bytes);

    /** The response is complete. */
    void responseCompleted();

    /** The connection closed or sent invalid data before the response was complete. */
    void connectionLost(String reason);
}
