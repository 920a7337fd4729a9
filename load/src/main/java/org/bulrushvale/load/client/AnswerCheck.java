package org.bulrushvale.load.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.RetryAdvice;
import org.bulrushvale.kernel.verdict.Verdict;
import org.bulrushvale.load.client.Outcome.Kind;

/**
 * Checks answers against the caller protocol.
 *
 * <p>Invariant: an event stream without {@code end} or {@code error} is never complete; an answer
 * that follows the protocol is never invalid. Thread safety: safe for use by any thread.
 */
final class AnswerCheck {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> VERDICTS = names(Verdict.values());
    private static final Set<String> CODES = names(ErrorCode.values());
    private static final Set<String> ADVICE = names(RetryAdvice.values());

    private final boolean mOutputNamesRequest;

    /**
     * Creates a check.
     *
     * @param outputNamesRequest true: outputs must contain the request id, as those of the
     *     stand-ins do
     */
    AnswerCheck(boolean outputNamesRequest) {
        mOutputNamesRequest = outputNamesRequest;
    }

    private static Set<String> names(Enum<?>[] constants) {
        return Set.copyOf(Arrays.stream(constants).map(Enum::name).toList());
    }

    /** Classifies a whole body. */
    Outcome check(int status, boolean eventStream, List<String> lines) {
        try {
            if (status != 200) {
                return problem(MAPPER.readTree(String.join("\n", lines)));
            }
            return eventStream ? stream(lines) : complete(String.join("\n", lines));
        } catch (JsonProcessingException e) {
            return Outcome.failed(Kind.INVALID, "body is not JSON, status " + status);
        }
    }

    private static Outcome problem(JsonNode body) {
        String verdict = body.path("verdict").asText();
        String code = body.path("code").asText();
        boolean valid =
                VERDICTS.contains(verdict)
                        && CODES.contains(code)
                        && ADVICE.contains(body.path("advice").asText())
                        && body.path("status").isInt()
                        && body.path("title").isTextual();
        return valid
                ? Outcome.refused(verdict, code)
                : Outcome.failed(Kind.INVALID, "problem body lacks a field");
    }

    private Outcome complete(String text) throws JsonProcessingException {
        JsonNode body = MAPPER.readTree(text);
        return finished(body, body.path("output").asText(""), body.path("output").isTextual());
    }

    private Outcome finished(JsonNode body, String output, boolean hasOutput) {
        String requestId = body.path("request_id").asText();
        if (!body.path("verdict").asText().equals(Verdict.RAN.name())) {
            return Outcome.failed(Kind.INVALID, "complete answer without verdict RAN");
        }
        if (requestId.isEmpty() || !body.path("tokens").isIntegralNumber() || !hasOutput) {
            return Outcome.failed(Kind.INVALID, "complete answer lacks a field");
        }
        if (mOutputNamesRequest && !output.contains(requestId)) {
            return Outcome.failed(Kind.INVALID, "output of another request");
        }
        return Outcome.complete(Verdict.RAN.name(), requestId, body.path("tokens").asLong());
    }

    private Outcome stream(List<String> lines) throws JsonProcessingException {
        StringBuilder output = new StringBuilder();
        String event = "";
        long tokens = 0;
        for (String line : lines) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).trim();
            } else if (line.startsWith("data:")) {
                JsonNode data = MAPPER.readTree(line.substring("data:".length()));
                if (event.equals("end")) {
                    return data.path("tokens").asLong(-1) == tokens
                            ? finished(data, output.toString(), true)
                            : Outcome.failed(Kind.INVALID, "end counts other tokens than sent");
                }
                if (event.equals("error")) {
                    return problem(data);
                }
                if (data.path("offset").asLong(-1) != tokens) {
                    return Outcome.failed(Kind.INVALID, "token offsets have a gap or repeat");
                }
                tokens++;
                output.append(data.path("text").asText());
            } else if (line.isEmpty()) {
                event = "";
            }
        }
        return Outcome.failed(Kind.CUT, "stream without end");
    }
}
