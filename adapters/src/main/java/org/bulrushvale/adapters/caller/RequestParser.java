package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Parses the headers and JSON bodies of callers' requests.
 *
 * <p>Invariant: error details name the invalid field and never repeat its content. Thread safety:
 * stateless.
 */
final class RequestParser {
    private static final JsonMapper JSON =
            JsonMapper.builder(
                            com.fasterxml.jackson.core.JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(16)
                                                    .build())
                                    .build())
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final Set<String> REQUEST_FIELDS =
            Set.of("workspace", "class", "input", "max_tokens", "session");
    private static final Set<String> KEY_FIELDS = Set.of("workspace", "class");
    private static final HttpString DEADLINE_HEADER = new HttpString("X-Deadline-Ms");
    private static final HttpString KEY_HEADER = new HttpString("Idempotency-Key");
    private static final String BEARER_PREFIX = "Bearer ";
    private static final long MAX_DEADLINE_MS = 3_600_000;
    private static final int MAX_TOKENS = 1 << 20;
    private static final int MAX_NAME_CHARS = 128;
    private static final int MAX_KEY_CHARS = 512;

    private RequestParser() {}

    static boolean hasKey(HeaderMap headers) {
        return headers.contains(KEY_HEADER);
    }

    static CallerRequest parse(HeaderMap headers, byte[] body) throws BulrushvaleException {
        JsonNode json = parseObject(body, REQUEST_FIELDS);
        if (!json.path("input").isTextual()) {
            throw malformed("input must be a string");
        }
        JsonNode maxTokens = json.path("max_tokens");
        boolean valid =
                maxTokens.isMissingNode()
                        || (maxTokens.canConvertToInt()
                                && maxTokens.isIntegralNumber()
                                && maxTokens.asInt() >= 1
                                && maxTokens.asInt() <= MAX_TOKENS);
        if (!valid) {
            throw malformed("max_tokens must be a whole number from 1 to " + MAX_TOKENS);
        }
        String accept = headers.getFirst(Headers.ACCEPT);
        return new CallerRequest(
                requireName(json, "workspace"),
                requireName(json, "class"),
                json.path("input").asText(),
                maxTokens.asInt(0),
                json.has("session") ? requireName(json, "session") : "",
                tokenDigest(headers),
                deadline(headers),
                key(headers),
                accept != null && accept.contains("text/event-stream"));
    }

    /** Returns the workspace and the class of work in a request for an idempotency key. */
    static String[] parseKeyRequest(byte[] body) throws BulrushvaleException {
        JsonNode json = parseObject(body, KEY_FIELDS);
        return new String[] {requireName(json, "workspace"), requireName(json, "class")};
    }

    static String tokenDigest(HeaderMap headers) {
        String value = headers.getFirst(Headers.AUTHORIZATION);
        if (value == null || !value.startsWith(BEARER_PREFIX)) {
            return "";
        }
        byte[] token =
                value.substring(BEARER_PREFIX.length()).trim().getBytes(StandardCharsets.UTF_8);
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(token));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }

    private static JsonNode parseObject(byte[] body, Set<String> fields)
            throws BulrushvaleException {
        JsonNode json;
        try {
            json = JSON.readTree(body);
        } catch (IOException e) {
            throw malformed("request body is not valid JSON");
        }
        if (!json.isObject()) {
            throw malformed("request body must be a JSON object");
        }
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            if (!fields.contains(names.next())) {
                throw malformed("request body has an unknown field");
            }
        }
        return json;
    }

    private static String requireName(JsonNode json, String field) throws BulrushvaleException {
        String text = json.path(field).isTextual() ? json.path(field).asText() : "";
        if (text.isEmpty() || text.length() > MAX_NAME_CHARS) {
            throw malformed(field + " must be a string of 1 to " + MAX_NAME_CHARS + " characters");
        }
        return text;
    }

    private static Optional<Duration> deadline(HeaderMap headers) throws BulrushvaleException {
        String value = headers.getFirst(DEADLINE_HEADER);
        if (value == null) {
            return Optional.empty();
        }
        try {
            long millis = Long.parseLong(value.trim());
            if (millis >= 1 && millis <= MAX_DEADLINE_MS) {
                return Optional.of(Duration.ofMillis(millis));
            }
        } catch (NumberFormatException ignored) {
            // The exception below reports this value, as it does a number out of range.
        }
        throw new BulrushvaleException(
                ErrorCode.DEADLINE_INVALID,
                Verdict.NOT_RUN,
                "X-Deadline-Ms must be a whole number from 1 to " + MAX_DEADLINE_MS);
    }

    private static Optional<String> key(HeaderMap headers) throws BulrushvaleException {
        String value = headers.getFirst(KEY_HEADER);
        if (value == null) {
            return Optional.empty();
        }
        if (value.isBlank() || value.length() > MAX_KEY_CHARS) {
            throw malformed("Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters");
        }
        return Optional.of(value.trim());
    }

    private static BulrushvaleException malformed(String detail) {
        return new BulrushvaleException(ErrorCode.MALFORMED_REQUEST, Verdict.NOT_RUN, detail);
    }
}
