package org.bulrushvale.decision.config;

/**
 * One reason why a set of published values is refused.
 *
 * <p>Invariant: {@code text} is at most {@value #MAX_TEXT_LENGTH} characters and holds no token
 * digest. Thread safety: immutable.
 *
 * @param kind what is wrong
 * @param value name of the published value
 * @param path place within the value, such as {@code [3].stages[0].pool}; empty for the whole value
 * @param text the invalid text, or what was expected instead
 */
public record ConfigFault(Kind kind, String value, String path, String text) {
    static final int MAX_TEXT_LENGTH = 80;

    public ConfigFault {
        text =
                text.length() <= MAX_TEXT_LENGTH
                        ? text
                        : text.substring(0, MAX_TEXT_LENGTH - 3) + "...";
    }

    /** Returns a description for operators, in one line. */
    public String describe() {
        String place = path.isEmpty() ? value : value + " " + path;
        return place + ": " + kind.mDescription + (text.isEmpty() ? "" : ": " + text);
    }

    /**
     * What is wrong with a value.
     *
     * <p>Thread safety: immutable.
     */
    public enum Kind {
        TOO_LARGE("larger than 1 MB"),
        MALFORMED_JSON("not valid JSON"),
        UNKNOWN_VALUE("unknown value name"),
        MISSING_VALUE("value missing"),
        UNKNOWN_FIELD("unknown field"),
        MISSING_FIELD("field missing"),
        WRONG_TYPE("wrong type"),
        OUT_OF_RANGE("out of range"),
        DUPLICATE("duplicate name"),
        DANGLING_REFERENCE("refers to a name that is not defined"),
        NOT_REPEATABLE("class declared idempotent has a stage that is not repeatable"),
        STREAM_NOT_LAST("only the last stage may stream");

        private final String mDescription;

        Kind(String description) {
            mDescription = description;
        }
    }
}
