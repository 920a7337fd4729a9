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
 * <p>Invariant: a reader returns a harmless value after a fault, so that the remaining fields are
 * still checked. Thread safety: not safe; used by one thread.
 */
final class FieldReader {
    private final String mValue;
    private final String mPath;
    private final JsonNode mNode;
    private final List<ConfigFault> mFaults;
    private final Set<String> mKnown = new HashSet<>();

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
        JsonNode node = node(field);
        if (node == null) {
            return "";
        }
        if (!node.isTextual()) {
            fault(Kind.WRONG_TYPE, field, node.toString());
            return "";
        }
        if (!valid.test(node.textValue())) {
            fault(Kind.OUT_OF_RANGE, field, node.textValue());
        }
        return node.textValue();
    }

    /** Reads text that must not appear in a fault. */
    String digest(String field, Predicate<String> valid) {
        JsonNode node = node(field);
        if (node != null && !(node.isTextual() && valid.test(node.textValue()))) {
            fault(Kind.OUT_OF_RANGE, field, "64 lower-case hexadecimal digits expected");
        }
        return node == null ? "" : node.asText();
    }

    double number(String field, DoublePredicate valid) {
        JsonNode node = node(field);
        if (node == null) {
            return 1.0;
        }
        if (!node.isNumber()) {
            fault(Kind.WRONG_TYPE, field, node.toString());
            return 1.0;
        }
        double number = node.doubleValue();
        if (!Double.isFinite(number) || !valid.test(number)) {
            fault(Kind.OUT_OF_RANGE, field, node.asText());
        }
        return number;
    }

    int integer(String field, int min, int max) {
        JsonNode node = node(field);
        if (node == null) {
            return min;
        }
        if (!node.isIntegralNumber()) {
            fault(Kind.WRONG_TYPE, field, node.toString());
            return min;
        }
        if (!node.canConvertToInt() || node.intValue() < min || node.intValue() > max) {
            fault(Kind.OUT_OF_RANGE, field, node.asText());
            return min;
        }
        return node.intValue();
    }

    boolean flag(String field) {
        JsonNode node = node(field);
        if (node != null && !node.isBoolean()) {
            fault(Kind.WRONG_TYPE, field, node.toString());
        }
        return node != null && node.asBoolean();
    }

    Iterable<JsonNode> list(String field) {
        JsonNode node = node(field);
        if (node == null) {
            return List.of();
        }
        if (!node.isArray()) {
            fault(Kind.WRONG_TYPE, field, node.toString());
            return List.of();
        }
        if (node.isEmpty()) {
            fault(Kind.OUT_OF_RANGE, field, "[]");
        }
        return node;
    }

    /** Returns a reader of an element below this object. */
    FieldReader child(String path, JsonNode node) {
        return new FieldReader(mValue, mPath + "." + path, node, mFaults);
    }

    /** Reports the fields that no reader asked for. */
    void finish() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mKnown.contains(name)) {
                                fault(Kind.UNKNOWN_FIELD, name, name);
                            }
                        });
    }

    void fault(Kind kind, String field, String text) {
        mFaults.add(new ConfigFault(kind, mValue, mPath + "." + field, text));
    }

    private @Nullable JsonNode node(String field) {
        mKnown.add(field);
        JsonNode node = mNode.get(field);
        if (node == null) {
            if (mNode.isObject()) {
                fault(Kind.MISSING_FIELD, field, field);
            }
            return null;
        }
        return node;
    }
}
