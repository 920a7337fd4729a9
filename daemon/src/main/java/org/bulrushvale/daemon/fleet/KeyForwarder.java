package org.bulrushvale.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.CallerResponse;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.RetryAdvice;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Forwards keyed requests to the holder of their key and returns its answers.
 *
 * <p>Invariant: a request is sent to the holder at most once; without an answer its verdict is "may
 * have run", even if it was not delivered, because the key may have been presented at another
 * entry. Thread safety: owned by the event loop.
 */
public final class KeyForwarder {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The holder may answer as late as the deadline; the answer needs this time to return. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    /** Leaves space for the other fields within the frame limit of 1 MiB + 64 KiB. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private final EventLoop mLoop;
    private final PeerTransport mTransport;
    private final String mRequestIdPrefix;
    private final AtomicLong mNextRequestNumber = new AtomicLong();

    KeyForwarder(EventLoop loop, PeerTransport transport, String requestIdPrefix) {
        mLoop = loop;
        mTransport = transport;
        mRequestIdPrefix = requestIdPrefix;
    }

    /** Forwards a request to the holder; runs {@code onEnd} after the caller was answered. */
    public void forward(
            String holder,
            CallerRequest request,
            Duration remaining,
            CallerResponder responder,
            Runnable onEnd) {
        PeerMessage.KeyHolderRequest message =
                new PeerMessage.KeyHolderRequest(
                        mRequestIdPrefix + "-" + mNextRequestNumber.getAndIncrement(),
                        request.workspace(),
                        request.workClass(),
                        request.key().orElse(""),
                        Math.max(1, remaining.toMillis()),
                        body(request),
                        request.maxTokens());
        mTransport
                .request(holder, message, remaining.plus(ANSWER_MARGIN))
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(
                                        () -> {
                                            deliver(answer, request.stream(), responder);
                                            onEnd.run();
                                        }));
    }

    private static byte[] body(CallerRequest request) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("input", request.input()).put("session", request.session());
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void deliver(
            @Nullable PeerMessage answer, boolean stream, CallerResponder responder) {
        if (!(answer instanceof PeerMessage.KeyHolderReply holder)) {
            responder.fail(unreachable());
            return;
        }
        if (holder.errorCode().isEmpty()) {
            CallerResponse parsed;
            try {
                parsed = CallerResponse.parse(holder.output());
            } catch (IllegalArgumentException e) {
                responder.fail(unreachable());
                return;
            }
            if (stream) {
                responder.text(0, parsed.output());
            }
            responder.complete(parsed);
            return;
        }
        ErrorCode code = parseErrorCode(holder.errorCode());
        RetryAdvice advice = code.defaultAdvice();
        if (advice == RetryAdvice.RETRY) {
            advice = RetryAdvice.RETRY_SAME_KEY;
        }
        responder.fail(Problem.failure(code, holder.verdict(), advice, holder.output()));
    }

    private static ErrorCode parseErrorCode(String name) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.name().equals(name)) {
                return code;
            }
        }
        return ErrorCode.OUTCOME_UNKNOWN;
    }

    /** Returns the problem that reports an unreachable holder of a key. */
    public static Problem unreachable() {
        return new Problem(
                ErrorCode.KEY_HOLDER_UNREACHABLE,
                Verdict.MAY_HAVE_RUN,
                RetryAdvice.RETRY_SAME_KEY,
                ErrorCode.KEY_HOLDER_UNREACHABLE.title(),
                OptionalLong.empty());
    }

    /** Parses a forwarded request; if it is malformed, answers with an error and returns empty. */
    static Optional<CallerRequest> parse(
            PeerMessage.KeyHolderRequest message, CallerResponder responder) {
        try {
            JsonNode json = JSON.readTree(message.body());
            return Optional.of(
                    new CallerRequest(
                            message.workspace(),
                            message.workClass(),
                            json.path("input").asText(),
                            message.maxTokens(),
                            json.path("session").asText(),
                            "",
                            Optional.of(Duration.ofMillis(Math.max(1, message.deadlineMillis()))),
                            Optional.of(message.key()),
                            false));
        } catch (IOException e) {
            responder.fail(
                    Problem.refusal(
                            ErrorCode.MALFORMED_REQUEST,
                            "the body of the forwarded request is not valid JSON",
                            true));
            return Optional.empty();
        }
    }

    /** Returns a responder that sends the answer back to the forwarding peer. */
    static CallerResponder responderTo(
            PeerMessage.KeyHolderRequest message, PeerListener.Responder reply) {
        return new CallerResponder() {
            @Override
            public void text(long offset, String text) {}

            @Override
            public void complete(CallerResponse answer) {
                String json = answer.toJson();
                if (json.getBytes(StandardCharsets.UTF_8).length > MAX_ANSWER_BYTES) {
                    json =
                            new CallerResponse(
                                            answer.requestId(),
                                            "",
                                            answer.tokens(),
                                            answer.stages())
                                    .toJson();
                }
                send(200, "", Verdict.RAN, json);
            }

            @Override
            public void fail(Problem problem) {
                send(
                        problem.code().httpStatus(),
                        problem.code().name(),
                        problem.verdict(),
                        problem.detail());
            }

            private void send(int status, String code, Verdict verdict, String output) {
                reply.send(
                        new PeerMessage.KeyHolderReply(
                                message.requestId(), status, code, verdict, output, ""));
            }
        };
    }
}
