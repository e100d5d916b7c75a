package org.mangowall.command.output;

import java.util.ArrayList;
import java.util.List;

/** Rows of text in aligned columns; not safe for use by several threads. */
public final class TextTable {

    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Starts a table with the heads of its columns. */
    public TextTable(String... heads) {
        rows.add(List.of(heads));
    }

    /** Adds a row with as many cells as there are heads. */
    public TextTable row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    /** The lines of the table, each with a line end. */
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
