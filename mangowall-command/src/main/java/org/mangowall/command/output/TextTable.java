package org.mangowall.command.output;

import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns; not thread-safe. */
public final class TextTable {

    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with the given column headers. */
    public TextTable(String... headers) {
        rows.add(List.of(headers));
    }

    /** Adds a row, which must have one cell for each header. */
    public TextTable row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    /** Formats the table; each line ends with a line feed. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                line.append(row.get(column));
                line.append(" ".repeat(width(column) - row.get(column).length()));
                line.append(COLUMN_GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
