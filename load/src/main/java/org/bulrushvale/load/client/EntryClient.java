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
import org.bulrushvale.load.client.Outcome.Kind;
import org.bulrushvale.load.mix.Arrival;

/**
 * Sends arrivals to the entries in turn, obtains keys and checks the answers.
 *
 * <p>Invariant: a request is sent once and never repeated; every request gets exactly one result.
 * Thread safety: safe for use by any thread.
 */
public final class EntryClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    // An entry answers a missed deadline itself; this leaves time for that answer to arrive.
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /**
     * A finished request. Thread safety: immutable.
     *
     * @param outcome what came back
     * @param endNanos monotonic time of the last byte
     * @param firstTokenNanos monotonic time of the first event, 0 when there was none
     */
    public record Result(Outcome outcome, long endNanos, long firstTokenNanos) {}

    private final List<URI> mEntries;
    private final Clock mClock;
    private final AnswerCheck mCheck;
    private final AtomicLong mTurn = new AtomicLong();
    private final Set<String> mRequestIds = ConcurrentHashMap.newKeySet();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /**
     * Creates a client.
     *
     * @param entries base addresses
     * @param outputNamesRequest true: outputs must contain the request id
     */
    public EntryClient(List<URI> entries, Clock clock, boolean outputNamesRequest) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("at least one entry is needed");
        }
        mEntries = List.copyOf(entries);
        mClock = clock;
        mCheck = new AnswerCheck(outputNamesRequest);
    }

    /** Sends one request; the result never completes with an exception. */
    public CompletableFuture<Result> send(Arrival arrival) {
        long limit = arrival.workClass().deadline().plus(PATIENCE).toMillis();
        CompletableFuture<Result> sent =
                arrival.workClass().idempotent()
                        ? request(arrival, "")
                        : key(arrival).thenCompose(answer -> withKey(arrival, answer));
        return sent.orTimeout(limit, TimeUnit.MILLISECONDS)
                .exceptionally(error -> new Result(failure(error), mClock.monotonicNanos(), 0));
    }

    private HttpRequest.Builder post(Arrival arrival, String path, ObjectNode body) {
        int turn = (int) (mTurn.getAndIncrement() % mEntries.size());
        body.put("workspace", arrival.workspace().name()).put("class", arrival.workClass().name());
        return HttpRequest.newBuilder(mEntries.get(turn).resolve(path))
                .header("Authorization", "Bearer " + arrival.workspace().token())
                .header("Content-Type", "application/json")
                .timeout(arrival.workClass().deadline().plus(PATIENCE))
                .POST(BodyPublishers.ofString(body.toString()));
    }

    private CompletableFuture<HttpResponse<String>> key(Arrival arrival) {
        HttpRequest request = post(arrival, "/v1/keys", MAPPER.createObjectNode()).build();
        return mClient.sendAsync(request, BodyHandlers.ofString());
    }

    private CompletableFuture<Result> withKey(Arrival arrival, HttpResponse<String> answer) {
        String key = "";
        if (answer.statusCode() == 200) {
            try {
                key = MAPPER.readTree(answer.body()).path("key").asText();
            } catch (JsonProcessingException expected) {
                key = "";
            }
        }
        if (!key.isEmpty()) {
            return request(arrival, key);
        }
        Outcome outcome =
                answer.statusCode() == 200
                        ? Outcome.failed(Kind.INVALID, "answer without key")
                        : mCheck.check(answer.statusCode(), false, List.of(answer.body()));
        return CompletableFuture.completedFuture(new Result(outcome, mClock.monotonicNanos(), 0));
    }

    private CompletableFuture<Result> request(Arrival arrival, String key) {
        ObjectNode body = MAPPER.createObjectNode().put("input", arrival.input());
        if (arrival.workClass().maxTokens() > 0) {
            body.put("max_tokens", arrival.workClass().maxTokens());
        }
        if (!arrival.session().isEmpty()) {
            body.put("session", arrival.session());
        }
        HttpRequest.Builder request =
                post(arrival, "/v1/requests", body)
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
        return mClient.sendAsync(
                        request.build(),
                        BodyHandlers.fromLineSubscriber(reader, AnswerReader::lines, null))
                .thenApply(response -> result(response, reader));
    }

    private Result result(HttpResponse<List<String>> response, AnswerReader reader) {
        String type = response.headers().firstValue("Content-Type").orElse("");
        boolean events = type.startsWith("text/event-stream");
        Outcome outcome = mCheck.check(response.statusCode(), events, response.body());
        if (outcome.kind() == Kind.COMPLETE && !mRequestIds.add(outcome.requestId())) {
            outcome = Outcome.failed(Kind.INVALID, "request id answered twice");
        }
        return new Result(outcome, mClock.monotonicNanos(), reader.firstTokenNanos());
    }

    private static Outcome failure(Throwable error) {
        Throwable cause = rootOf(error);
        if (cause instanceof TimeoutException) {
            return Outcome.failed(Kind.CUT, "no complete answer in time");
        }
        for (Throwable at = error; at != null; at = at.getCause()) {
            if (at instanceof ConnectException || at instanceof HttpConnectTimeoutException) {
                return Outcome.failed(Kind.UNREACHABLE, "no connection");
            }
        }
        return Outcome.failed(Kind.CUT, cause.getClass().getSimpleName());
    }

    private static Throwable rootOf(Throwable error) {
        Throwable root = error;
        for (Throwable at = error; at != null; at = at.getCause()) {
            root = at;
        }
        return root;
    }
}
