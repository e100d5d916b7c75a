package org.mangowall.protocol.operator;

import java.util.List;

/**
 * The decisions that one router remembers about a request; empty when it remembers none.
 *
 * @param request the request's identifier
 * @param records the decisions in their order
 */
public record ExplanationDocument(String request, List<Decision> records) {

    /** Copies the list; one that is missing is empty. */
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
     * @throws org.mangowall.kernel.failure.MangowallException when it is not one
     */
    public static ExplanationDocument parse(byte[] content) {
        return OperatorJson.read(content, ExplanationDocument.class);
    }

    /**
     * One decision.
     *
     * @param atMillis when it was made, in milliseconds since 1970 by the clock of the router
     * @param router the router that made it
     * @param step what was decided, such as {@code routed}, {@code sent}, {@code released} or {@code ended}
     * @param workspace the workspace
     * @param service the service
     * @param runner the runner, or empty when none is chosen yet
     * @param reason why
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
