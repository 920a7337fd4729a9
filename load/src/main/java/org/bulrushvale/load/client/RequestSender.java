package org.bulrushvale.load.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.load.client.RequestOutcome.Kind;
import org.bulrushvale.load.mix.Arrival;

/**
 * Sends requests to the entries in turn, obtains idempotency keys and checks the answers.
 *
 * <p>Invariant: a request is sent once and never repeated; every request gets exactly one result.
 * Thread safety: safe for use by any thread.
 */
public final class RequestSender {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    // Extra wait after the deadline, because the entry itself answers a missed deadline.
    private static final Duration ANSWER_GRACE_PERIOD = Duration.ofSeconds(2);

    /**
     * Result of a finished request. Thread safety: immutable.
     *
     * @param outcome outcome of the request
     * @param endNanos monotonic time at the end of the answer, or at the failure
     * @param firstTokenNanos monotonic time of the first event with data, 0 if there was none
     */
    public record Result(RequestOutcome outcome, long endNanos, long firstTokenNanos) {}

    private final List<URI> mEntries;
    private final Clock mClock;
    private final AnswerCheck mCheck;
    private final AtomicLong mNextEntry = new AtomicLong();
    private final Set<String> mRequestIds = ConcurrentHashMap.newKeySet();
    private final HttpClient mHttpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /**
     * Creates a sender.
     *
     * @param entries base addresses of the entries
     * @param outputContainsRequestId true: outputs must contain the request id
     */
    public RequestSender(List<URI> entries, Clock clock, boolean outputContainsRequestId) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("the list of entries is empty");
        }
        mEntries = List.copyOf(entries);
        mClock = clock;
        mCheck = new AnswerCheck(outputContainsRequestId);
    }

    /** Sends one request; the returned future never completes exceptionally. */
    public CompletableFuture<Result> send(Arrival arrival) {
        long timeoutMs = arrival.workClass().deadline().plus(ANSWER_GRACE_PERIOD).toMillis();
        CompletableFuture<Result> sent =
                arrival.workClass().idempotent()
                        ? sendRequest(arrival, "")
                        : requestKey(arrival).thenCompose(answer -> sendWithKey(arrival, answer));
        return sent.orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .exceptionally(
                        error -> new Result(failureOutcome(error), mClock.monotonicNanos(), 0));
    }

    private HttpRequest.Builder preparePost(Arrival arrival, String path, ObjectNode body) {
        int entryIndex = (int) (mNextEntry.getAndIncrement() % mEntries.size());
        body.put("workspace", arrival.workspace().name()).put("class", arrival.workClass().name());
        return HttpRequest.newBuilder(mEntries.get(entryIndex).resolve(path))
                .header("Authorization", "Bearer " + arrival.workspace().token())
                .header("Content-Type", "application/json")
                .timeout(arrival.workClass().deadline().plus(ANSWER_GRACE_PERIOD))
                .POST(BodyPublishers.ofString(body.toString()));
    }

    private CompletableFuture<HttpResponse<String>> requestKey(Arrival arrival) {
        HttpRequest request = preparePost(arrival, "/v1/keys", MAPPER.createObjectNode()).build();
        return mHttpClient.sendAsync(request, BodyHandlers.ofString());
    }

    private CompletableFuture<Result> sendWithKey(Arrival arrival, HttpResponse<String> answer) {
        String key = "";
        if (answer.statusCode() == 200) {
            try {
                key = MAPPER.readTree(answer.body()).path("key").asText();
            } catch (JsonProcessingException expected) {
                key = "";
            }
        }
        if (!key.isEmpty()) {
            return sendRequest(arrival, key);
        }
        RequestOutcome outcome =
                answer.statusCode() == 200
                        ? RequestOutcome.failed(Kind.INVALID, "answer without key")
                        : mCheck.check(answer.statusCode(), false, List.of(answer.body()));
        return CompletableFuture.completedFuture(new Result(outcome, mClock.monotonicNanos(), 0));
    }

    private CompletableFuture<Result> sendRequest(Arrival arrival, String key) {
        ObjectNode body = MAPPER.createObjectNode().put("input", arrival.input());
        if (arrival.workClass().maxTokens() > 0) {
            body.put("max_tokens", arrival.workClass().maxTokens());
        }
        if (!arrival.session().isEmpty()) {
            body.put("session", arrival.session());
        }
        HttpRequest.Builder request =
                preparePost(arrival, "/v1/requests", body)
                        .header(
                                "X-Deadline-Ms",
                                Long.toString(arrival.workClass().deadline().toMillis()));
        if (arrival.workClass().stream()) {
            request.header("Accept", "text/event-stream");
        }
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        AnswerReader reader = new AnswerReader(mClock::monotonicNanos);
        return mHttpClient
                .sendAsync(
                        request.build(),
                        BodyHandlers.fromLineSubscriber(reader, AnswerReader::lines, null))
                .thenApply(response -> checkResponse(response, reader));
    }

    private Result checkResponse(HttpResponse<List<String>> response, AnswerReader reader) {
        String contentType = response.headers().firstValue("Content-Type").orElse("");
        boolean isEventStream = contentType.startsWith("text/event-stream");
        RequestOutcome outcome =
                mCheck.check(response.statusCode(), isEventStream, response.body());
        if (outcome.kind() == Kind.COMPLETE && !mRequestIds.add(outcome.requestId())) {
            outcome = RequestOutcome.failed(Kind.INVALID, "request id answered twice");
        }
        return new Result(outcome, mClock.monotonicNanos(), reader.firstTokenNanos());
    }

    private static RequestOutcome failureOutcome(Throwable error) {
        Throwable cause = rootCause(error);
        if (cause instanceof TimeoutException) {
            return RequestOutcome.failed(Kind.CUT, "no complete answer in time");
        }
        for (Throwable current = error; current != null; current = current.getCause()) {
            if (current instanceof ConnectException
                    || current instanceof HttpConnectTimeoutException) {
                return RequestOutcome.failed(Kind.UNREACHABLE, "no connection");
            }
        }
        return RequestOutcome.failed(Kind.CUT, cause.getClass().getSimpleName());
    }

    private static Throwable rootCause(Throwable error) {
        Throwable root = error;
        for (Throwable current = error; current != null; current = current.getCause()) {
            root = current;
        }
        return root;
    }
}
