package org.mangowall.protocol.operator;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class OperatorDocumentsTest {

    private static final RouterStatusDocument STATUS = new RouterStatusDocument(
            "router-1",
            "rennes",
            3,
            "alive",
            true,
            7,
            List.of(new RouterStatusDocument.Member("router-1", "rennes", 3, "alive", "127.0.0.1:19101")),
            List.of(new RouterStatusDocument.Runner("caisse-rennes", "caisse", "rennes", 4, 1, 1, true)),
            List.of(new RouterStatusDocument.Service("caisse", 3, 0, 0.5, 12.0)),
            List.of(new RouterStatusDocument.Share("caisse", "bureau-auray", 1.0, 0, 2, 31.5)));

    @Test
    void theStatusDocumentStaysAsPublished() {
        Approvals.verify(new String(STATUS.toJson(), StandardCharsets.UTF_8));
    }

    @Test
    void theStatusDocumentIsReadBack() {
        assertEquals(STATUS, RouterStatusDocument.parse(STATUS.toJson()));
    }

    @Test
    void theExplanationDocumentIsReadBack() {
        ExplanationDocument explanation = new ExplanationDocument(
                "router-1~3~1",
                List.of(new ExplanationDocument.Decision(
                        1_000, "router-1", "routed", "bureau-auray", "caisse", "caisse-rennes", "ONLY_HOME")));
        assertEquals(explanation, ExplanationDocument.parse(explanation.toJson()));
    }

    @Test
    void unknownKeysOfANewerRouterAreIgnored() {
        byte[] content = "{\"router\":\"router-1\",\"mood\":\"good\"}".getBytes(StandardCharsets.UTF_8);
        RouterStatusDocument status = RouterStatusDocument.parse(content);
        assertEquals("router-1", status.router());
        assertEquals(List.of(), status.members());
    }

    @Test
    void contentThatIsNotJsonIsRefused() {
        byte[] content = "<html>".getBytes(StandardCharsets.UTF_8);
        MangowallException failure = assertThrows(MangowallException.class, () -> RouterStatusDocument.parse(content));
        assertEquals(FailureCode.MALFORMED_REQUEST, failure.failureCode());
    }
}
