package org.bulrushvale.decision.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoublePredicate;
import java.util.function.Predicate;
import org.bulrushvale.decision.config.ConfigFault.Kind;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object and records every fault instead of stopping at the first.
 *
 * <p>Invariant: after a fault a method still returns a value, so that the caller goes on to check
 * the remaining fields. Thread safety: not safe; used by one thread.
 */
final class FieldReader {
    private final String mValue;
    private final String mPath;
    private final JsonNode mNode;
    private final List<ConfigFault> mFaults;
    private final Set<String> mReadFields = new HashSet<>();

    FieldReader(String value, String path, JsonNode node, List<ConfigFault> faults) {
        mValue = value;
        mPath = path;
        mNode = node;
        mFaults = faults;
        if (!node.isObject()) {
            faults.add(new ConfigFault(Kind.WRONG_TYPE, value, path, "object expected"));
        }
    }

    String text(String field, Predicate<String> valid) {
        JsonNode node = requiredNode(field);
        if (node == null) {
            return "";
        }
        if (!node.isTextual()) {
            addFault(Kind.WRONG_TYPE, field, node.toString());
            return "";
        }
        if (!valid.test(node.textValue())) {
            addFault(Kind.OUT_OF_RANGE, field, node.textValue());
        }
        return node.textValue();
    }

    /** Reads a digest, which must not appear in the text of a fault. */
    String digest(String field, Predicate<String> valid) {
        JsonNode node = requiredNode(field);
        if (node != null && !(node.isTextual() && valid.test(node.textValue()))) {
            addFault(Kind.OUT_OF_RANGE, field, "64 lower-case hexadecimal digits expected");
        }
        return node == null ? "" : node.asText();
    }

    double number(String field, DoublePredicate valid) {
        JsonNode node = requiredNode(field);
        if (node == null) {
            return 1.0;
        }
        if (!node.isNumber()) {
            addFault(Kind.WRONG_TYPE, field, node.toString());
            return 1.0;
        }
        double number = node.doubleValue();
        if (!Double.isFinite(number) || !valid.test(number)) {
            addFault(Kind.OUT_OF_RANGE, field, node.asText());
        }
        return number;
    }

    int integer(String field, int min, int max) {
        JsonNode node = requiredNode(field);
        if (node == null) {
            return min;
        }
        if (!node.isIntegralNumber()) {
            addFault(Kind.WRONG_TYPE, field, node.toString());
            return min;
        }
        if (!node.canConvertToInt() || node.intValue() < min || node.intValue() > max) {
            addFault(Kind.OUT_OF_RANGE, field, node.asText());
            return min;
        }
        return node.intValue();
    }

    boolean flag(String field) {
        JsonNode node = requiredNode(field);
        if (node != null && !node.isBoolean()) {
            addFault(Kind.WRONG_TYPE, field, node.toString());
        }
        return node != null && node.asBoolean();
    }

    Iterable<JsonNode> list(String field) {
        JsonNode node = requiredNode(field);
        if (node == null) {
            return List.of();
        }
        if (!node.isArray()) {
            addFault(Kind.WRONG_TYPE, field, node.toString());
            return List.of();
        }
        if (node.isEmpty()) {
            addFault(Kind.OUT_OF_RANGE, field, "[]");
        }
        return node;
    }

    /** Returns a reader for an element within this object. */
    FieldReader child(String path, JsonNode node) {
        return new FieldReader(mValue, mPath + "." + path, node, mFaults);
    }

    /** Records a fault for each field of the object that was not read. */
    void addUnknownFieldFaults() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mReadFields.contains(name)) {
                                addFault(Kind.UNKNOWN_FIELD, name, name);
                            }
                        });
    }

    void addFault(Kind kind, String field, String text) {
        mFaults.add(new ConfigFault(kind, mValue, mPath + "." + field, text));
    }

    private @Nullable JsonNode requiredNode(String field) {
        mReadFields.add(field);
        JsonNode node = mNode.get(field);
        if (node == null) {
            if (mNode.isObject()) {
                addFault(Kind.MISSING_FIELD, field, field);
            }
            return null;
        }
        return node;
    }
}
