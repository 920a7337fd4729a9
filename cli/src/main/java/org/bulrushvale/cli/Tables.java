package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Renders JSON reports with any fields as aligned text.
 *
 * <p>Invariant: every value of the report appears in the text. Each control character is replaced
 * by a question mark, because a report could otherwise control the operator's terminal. Thread
 * safety: stateless.
 */
final class Tables {
    private static final String COLUMN_SEPARATOR = "  ";

    private Tables() {}

    /** Renders an object as names with values, and each list of objects as a table. */
    static String render(JsonNode json) {
        if (json.isArray()) {
            return renderRows(json);
        }
        List<List<String>> scalars = new ArrayList<>();
        StringBuilder tables = new StringBuilder();
        json.fields()
                .forEachRemaining(
                        field -> {
                            JsonNode value = field.getValue();
                            if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
                                tables.append('\n')
                                        .append(replaceControlCharacters(field.getKey()))
                                        .append(":\n");
                                tables.append(renderRows(value));
                            } else {
                                scalars.add(
                                        List.of(
                                                replaceControlCharacters(field.getKey()),
                                                cellText(value)));
                            }
                        });
        return align(scalars) + tables;
    }

    private static String renderRows(JsonNode list) {
        Set<String> columns = new LinkedHashSet<>();
        list.forEach(item -> item.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns.stream().map(Tables::replaceControlCharacters).toList());
        for (JsonNode item : list) {
            lines.add(columns.stream().map(column -> cellText(item.path(column))).toList());
        }
        return align(lines);
    }

    /** Pads the columns of some lines to the same width. */
    static String align(List<List<String>> lines) {
        int columns = lines.stream().mapToInt(List::size).max().orElse(0);
        int[] widths = new int[columns];
        for (List<String> line : lines) {
            for (int i = 0; i < line.size(); i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> line : lines) {
            StringBuilder padded = new StringBuilder();
            for (int i = 0; i < line.size(); i++) {
                String cell = line.get(i);
                padded.append(cell)
                        .append(" ".repeat(widths[i] - cell.length()))
                        .append(COLUMN_SEPARATOR);
            }
            text.append(padded.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String cellText(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return replaceControlCharacters(value.isValueNode() ? value.asText() : value.toString());
    }

    static String replaceControlCharacters(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
