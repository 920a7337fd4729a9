package org.bulrushvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * One line of an entry's decision log.
 *
 * <p>Invariant: time, VM and event are present. Thread safety: immutable as long as the fields are
 * not changed.
 *
 * @param fields all fields of the line, including time, VM and event
 */
record LogLine(Instant time, String vm, String event, JsonNode fields) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /**
     * Parses a line after any prefix of a log collector; empty if it is not a decision log line.
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode json = MAPPER.readTree(text.substring(start));
            if (!json.path("vm").isTextual() || !json.path("event").isTextual()) {
                return Optional.empty();
            }
            Instant time = Instant.parse(json.path("time").asText());
            return Optional.of(
                    new LogLine(time, json.path("vm").asText(), json.path("event").asText(), json));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    String text(String field) {
        return fields.path(field).asText("");
    }

    long number(String field) {
        return fields.path(field).asLong();
    }

    /** Returns the fields, except time, VM, event and request, as {@code name=value} pairs. */
    String details() {
        StringBuilder details = new StringBuilder();
        ObjectNode remainingFields = fields.deepCopy();
        remainingFields.remove("time");
        remainingFields.remove("vm");
        remainingFields.remove("event");
        remainingFields.remove("request");
        remainingFields
                .fields()
                .forEachRemaining(
                        field ->
                                details.append(field.getKey())
                                        .append('=')
                                        .append(field.getValue().asText())
                                        .append(' '));
        return details.toString().strip();
    }
}
