package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.bulrushvale.systemtests.harness.Answer.Kind;

/**
 * Sends single requests of one workspace to entries and classifies the answers.
 *
 * <p>Invariant: a request is sent once; every call returns exactly one answer. Thread safety: safe
 * for use by any thread.
 */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WORKSPACE = "city-halls";
    private static final String TOKEN = "city-halls-token";
    // The longest class deadline and time for the answer to a missed deadline to arrive.
    private static final Duration PATIENCE = Duration.ofSeconds(12);

    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /**
     * One request.
     *
     * <p>Thread safety: immutable.
     *
     * @param workClass class of work
     * @param input content
     * @param key idempotency key, empty for none
     * @param stream true to ask for an event stream
     */
    public record Ask(String workClass, String input, String key, boolean stream) {
        /** Returns a request without key whose answer arrives whole. */
        public static Ask of(String workClass, String input) {
            return new Ask(workClass, input, "", false);
        }

        /** Returns a request with a key whose answer arrives whole. */
        public static Ask keyed(String workClass, String input, String key) {
            return new Ask(workClass, input, key, false);
        }

        /** Returns the same request with an answer that arrives as a stream. */
        public Ask streamed() {
            return new Ask(workClass, input, key, true);
        }
    }

    /** Obtains a key; the answer's body holds it. */
    public Answer requestKey(URI entry, String workClass) {
        ObjectNode body =
                JSON.createObjectNode().put("workspace", WORKSPACE).put("class", workClass);
        try {
            HttpResponse<String> response =
                    mHttp.send(
                            post(entry.resolve("/v1/keys"), body).build(), BodyHandlers.ofString());
            JsonNode json = JSON.readTree(response.body());
            boolean issued = response.statusCode() == 200 && json.path("key").isTextual();
            return issued
                    ? new Answer(Kind.WHOLE, 200, json, "", "")
                    : problem(response.statusCode(), json);
        } catch (IOException e) {
            return failure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.without(Kind.CUT, "interrupted");
        }
    }

    /** Obtains a key and returns it. */
    public String key(URI entry, String workClass) {
        Answer answer = requestKey(entry, workClass);
        if (!answer.isWhole()) {
            throw new AssertionError("no key from " + entry + ": " + answer);
        }
        return answer.body().path("key").asText();
    }

    /** Sends a request and waits for its answer. */
    public Answer send(URI entry, Ask ask) {
        ObjectNode body =
                JSON.createObjectNode()
                        .put("workspace", WORKSPACE)
                        .put("class", ask.workClass())
                        .put("input", ask.input())
                        .put("max_tokens", 16);
        HttpRequest.Builder request = post(entry.resolve("/v1/requests"), body);
        if (!ask.key().isEmpty()) {
            request.header("Idempotency-Key", ask.key());
        }
        if (ask.stream()) {
            request.header("Accept", "text/event-stream");
        }
        try {
            HttpResponse<String> response = mHttp.send(request.build(), BodyHandlers.ofString());
            return classify(response);
        } catch (IOException e) {
            return failure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.without(Kind.CUT, "interrupted");
        }
    }

    private static HttpRequest.Builder post(URI uri, ObjectNode body) {
        return HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + TOKEN)
                .header("Content-Type", "application/json")
                .timeout(PATIENCE)
                .POST(BodyPublishers.ofString(body.toString()));
    }

    private static Answer failure(IOException e) {
        boolean unreachable =
                e instanceof ConnectException || e instanceof HttpConnectTimeoutException;
        return Answer.without(unreachable ? Kind.UNREACHABLE : Kind.CUT, e.toString());
    }

    private static Answer classify(HttpResponse<String> response) throws JsonProcessingException {
        String type = response.headers().firstValue("Content-Type").orElse("");
        if (response.statusCode() == 200 && type.startsWith("text/event-stream")) {
            return stream(response.body());
        }
        JsonNode json;
        try {
            json = JSON.readTree(response.body());
        } catch (JsonProcessingException e) {
            return Answer.without(Kind.INVALID, response.statusCode() + " " + response.body());
        }
        return response.statusCode() == 200
                ? whole(json, json.path("output").asText())
                : problem(response.statusCode(), json);
    }

    private static Answer stream(String text) throws JsonProcessingException {
        StringBuilder output = new StringBuilder();
        String event = "";
        for (String line : text.split("\n", -1)) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).trim();
            } else if (line.startsWith("data:")) {
                JsonNode data = JSON.readTree(line.substring("data:".length()));
                if (event.equals("end")) {
                    return whole(data, output.toString());
                }
                if (event.equals("error")) {
                    return problem(data.path("status").asInt(), data);
                }
                output.append(data.path("text").asText());
            }
        }
        return Answer.without(Kind.CUT, "stream without end");
    }

    private static Answer whole(JsonNode body, String output) {
        String id = body.path("request_id").asText();
        boolean valid = !id.isEmpty() && body.path("verdict").asText().equals("RAN");
        if (!valid || !output.contains(id)) {
            return new Answer(Kind.INVALID, 200, body, output, "not this request's whole answer");
        }
        return new Answer(Kind.WHOLE, 200, body, output, "");
    }

    private static Answer problem(int status, JsonNode body) {
        String verdict = body.path("verdict").asText();
        boolean valid =
                verdict.matches("NOT_RUN|MAY_HAVE_RUN|RAN") && body.path("code").isTextual();
        return valid
                ? new Answer(Kind.REFUSED, status, body, "", "")
                : new Answer(Kind.INVALID, status, body, "", "problem without verdict or code");
    }
}
