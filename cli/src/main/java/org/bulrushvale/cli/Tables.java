package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Renders JSON reports as aligned text, whatever fields they have.
 *
 * <p>Invariant: every value of the report appears in the text; control characters do not, because a
 * report could otherwise drive the operator's terminal. Thread safety: stateless.
 */
final class Tables {
    private static final String GAP = "  ";

    private Tables() {}

    /** Renders an object as names with values, and each list of objects as a table. */
    static String of(JsonNode json) {
        if (json.isArray()) {
            return rows(json);
        }
        List<List<String>> scalars = new ArrayList<>();
        StringBuilder tables = new StringBuilder();
        json.fields()
                .forEachRemaining(
                        field -> {
                            JsonNode value = field.getValue();
                            if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
                                tables.append('\n').append(clean(field.getKey())).append(":\n");
                                tables.append(rows(value));
                            } else {
                                scalars.add(List.of(clean(field.getKey()), text(value)));
                            }
                        });
        return align(scalars) + tables;
    }

    private static String rows(JsonNode list) {
        Set<String> columns = new LinkedHashSet<>();
        list.forEach(item -> item.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns.stream().map(Tables::clean).toList());
        for (JsonNode item : list) {
            lines.add(columns.stream().map(column -> text(item.path(column))).toList());
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
                padded.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
            }
            text.append(padded.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String text(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return clean(value.isValueNode() ? value.asText() : value.toString());
    }

    static String clean(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
