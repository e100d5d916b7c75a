package org.mangowall.protocol.operator;

import java.util.List;

/**
 * The decisions on a request that one router has recorded; empty if it has recorded none.
 *
 * @param request the request's identifier
 * @param records the decisions in the order in which they were made
 */
public record ExplanationDocument(String request, List<Decision> records) {

    /** Copies the list; a missing list becomes empty. */
    public ExplanationDocument {
        records = records == null ? List.of() : List.copyOf(records);
    }

    /** Writes the document. */
    public byte[] toJson() {
        return OperatorJson.write(this);
    }

    /**
     * Reads a document.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when the content is not such a document
     */
    public static ExplanationDocument parse(byte[] content) {
        return OperatorJson.read(content, ExplanationDocument.class);
    }

    /**
     * A decision on a request.
     *
     * @param atMillis when it was made, in milliseconds since the Unix epoch by the router's clock
     * @param router the router that made it
     * @param step what was decided, such as {@code routed}, {@code sent}, {@code released} or {@code ended}
     * @param workspace the workspace
     * @param service the service
     * @param runner the runner, or empty if none has been chosen
     * @param reason the reason for the decision
     */
    public record Decision(
            long atMillis,
            String router,
            String step,
            String workspace,
            String service,
            String runner,
            String reason) {}
}
