package org.mangowall.kernel.failure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RefusalsPageTest {

    private static final Path PAGE = Path.of("..", "docs", "operators", "refusals.md");
    private static final Pattern ROW =
            Pattern.compile("\\| `([a-z-]+)` \\| ([0-9]+) \\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\|");

    @Test
    void thePageListsEachCodeWithItsStatusAndOutcome() throws IOException {
        List<String> documented = Files.readAllLines(PAGE).stream()
                .map(ROW::matcher)
                .filter(Matcher::matches)
                .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3))
                .toList();
        List<String> codes = Arrays.stream(FailureCode.values())
                .map(code -> code.code() + " " + code.httpStatus() + " "
                        + code.outcome().text())
                .toList();
        assertEquals(codes, documented);
    }
}
