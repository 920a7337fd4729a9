package org.bulrushvale.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON reading and writing shared by the stand-ins.
 *
 * <p>Invariant: {@link #merge} rejects unknown settings, so that a test notices a misspelled fault.
 * Thread safety: safe for use by any thread.
 */
public final class Json {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS).build();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Converts a value to its JSON tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Parses a document; throws {@link IllegalArgumentException} when it is not JSON. */
    public static JsonNode parse(byte[] text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a value as JSON text without line breaks. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value cannot be written as JSON", e);
        }
    }

    /**
     * Returns a copy of {@code current} with the fields of {@code patch} replaced; throws {@link
     * IllegalArgumentException} on an unknown field.
     */
    public static <T> T merge(T current, ObjectNode patch, Class<T> type) {
        ObjectNode merged = (ObjectNode) tree(current);
        merged.setAll(patch);
        try {
            return MAPPER.treeToValue(merged, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid setting: " + e.getOriginalMessage(), e);
        }
    }
}
