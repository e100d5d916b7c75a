package org.mangowall.kernel.failure;

import java.util.Arrays;
import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class FailureCodeTest {

    @Test
    void publishedCodesStayAsTheyAre() {
        String table = Arrays.stream(FailureCode.values())
                .map(code -> code.code() + " " + code.httpStatus() + " "
                        + code.outcome().text())
                .collect(Collectors.joining("\n"));
        Approvals.verify(table);
    }
}
