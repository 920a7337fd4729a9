package org.bulrushvale.daemon;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.CallerResponse;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.decision.keys.BodyFingerprint;
import org.bulrushvale.decision.keys.IdempotencyKey;
import org.bulrushvale.decision.keys.KeyDecision;
import org.bulrushvale.decision.keys.KeyLedger;
import org.bulrushvale.decision.keys.KeyMemoryBudget;
import org.bulrushvale.decision.keys.KeyOutcome;
import org.bulrushvale.decision.keys.KeyRoute;
import org.bulrushvale.decision.keys.KeySecret;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.RetryAdvice;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Decides for requests of non-idempotent classes whether they run here, join a running request or
 * replay a recorded answer.
 *
 * <p>Invariant: every responder that {@link #present} passes to a {@link Runner} receives exactly
 * one answer or failure. Thread safety: owned by the event loop.
 */
final class KeyedRequests {
    // About 1 MB of records and 4 MB of outputs, within the limit of 32 MB for control state.
    private static final int MAX_RECORDS = 20_000;
    private static final long MAX_OUTPUT_CHARS = 2_000_000;

    private final KeySpaces mSpaces;
    private final KeySecret mSecret;
    private final Map<String, List<CallerResponder>> mJoinedResponders = new HashMap<>();

    KeyedRequests(long incarnation, String secret, Clock clock) {
        mSecret = KeySecret.of(secret.getBytes(StandardCharsets.UTF_8));
        KeyMemoryBudget memory = KeyMemoryBudget.limitedTo(MAX_RECORDS, MAX_OUTPUT_CHARS);
        mSpaces = KeySpaces.create(incarnation, mSecret, clock, memory);
    }

    KeySpaces spaces() {
        return mSpaces;
    }

    /**
     * Decides about a request by its key.
     *
     * @param runner runs the request here, with a responder that records the outcome
     * @param forwarder sends the request to the peer that holds the key
     */
    void present(
            CallerRequest request, CallerResponder responder, Runner runner, Forwarder forwarder)
            throws BulrushvaleException {
        IdempotencyKey key =
                IdempotencyKey.parse(
                        request.key().orElse(""),
                        mSecret,
                        request.workspace(),
                        request.workClass());
        KeyRoute route = mSpaces.route(key);
        if (route instanceof KeyRoute.Local local) {
            presentLocally(key, local.ledger(), request, responder, runner);
        } else if (route instanceof KeyRoute.Peer peer) {
            forwarder.forwardTo(peer.vm());
        } else {
            fail(responder, ErrorCode.KEY_HOLDER_LOST, Verdict.MAY_HAVE_RUN);
        }
    }

    /**
     * Starts the run of a keyed request.
     *
     * <p>Thread safety: owned by the event loop.
     */
    @FunctionalInterface
    interface Runner {
        void run(CallerResponder recording);
    }

    /**
     * Sends a keyed request to the peer that holds its key.
     *
     * <p>Thread safety: owned by the event loop.
     */
    @FunctionalInterface
    interface Forwarder {
        void forwardTo(String holder);
    }

    /** Returns true when further callers wait for the running request of this key. */
    boolean isJoined(String key) {
        return !mJoinedResponders.getOrDefault(key, List.of()).isEmpty();
    }

    private void presentLocally(
            IdempotencyKey key,
            KeyLedger ledger,
            CallerRequest request,
            CallerResponder responder,
            Runner runner) {
        KeyDecision decision = ledger.decide(key, fingerprint(request));
        switch (decision.kind()) {
            case RUN -> {
                mJoinedResponders.put(key.toString(), new ArrayList<>());
                runner.run(new RecordingResponder(key, ledger, responder));
            }
            case JOIN ->
                    mJoinedResponders
                            .computeIfAbsent(key.toString(), k -> new ArrayList<>())
                            .add(request.stream() ? sendingWholeText(responder) : responder);
            case REPLAY -> replay(decision.outcome(), request.stream(), responder);
            default -> {
                ErrorCode code = decision.kind().errorCode();
                Verdict verdict = decision.kind().verdict();
                fail(
                        responder,
                        code == null ? ErrorCode.INTERNAL : code,
                        verdict == null ? Verdict.MAY_HAVE_RUN : verdict);
            }
        }
    }

    /**
     * Wraps the responder of a joined stream: it has missed the earlier texts, so it receives the
     * whole output at the end.
     */
    private static CallerResponder sendingWholeText(CallerResponder responder) {
        return new CallerResponder() {
            @Override
            public void text(long offset, String text) {}

            @Override
            public void complete(CallerResponse answer) {
                responder.text(0, answer.output());
                responder.complete(answer);
            }

            @Override
            public void fail(Problem problem) {
                responder.fail(problem);
            }
        };
    }

    private static void replay(
            @Nullable KeyOutcome outcome, boolean stream, CallerResponder responder) {
        String output = outcome == null ? null : outcome.output();
        if (output == null) {
            responder.fail(
                    Problem.failure(
                            ErrorCode.RESULT_NOT_HELD,
                            Verdict.RAN,
                            ErrorCode.RESULT_NOT_HELD.defaultAdvice(),
                            "the request ran; its result was too large to keep"));
            return;
        }
        CallerResponse answer = CallerResponse.parse(output);
        if (stream) {
            responder.text(0, answer.output());
        }
        responder.complete(answer);
    }

    private static BodyFingerprint fingerprint(CallerRequest request) {
        String body = request.maxTokens() + "\n" + request.session() + "\n" + request.input();
        return BodyFingerprint.of(
                request.workspace(), request.workClass(), body.getBytes(StandardCharsets.UTF_8));
    }

    private static void fail(CallerResponder responder, ErrorCode code, Verdict verdict) {
        RetryAdvice advice = code.defaultAdvice();
        if (advice == RetryAdvice.RETRY) {
            advice = RetryAdvice.RETRY_SAME_KEY;
        }
        responder.fail(Problem.failure(code, verdict, advice, code.title()));
    }

    /**
     * Records the outcome of a keyed request and sends it to all callers that wait for it.
     *
     * <p>Invariant: the outcome is recorded before any caller is answered. Thread safety: owned by
     * the event loop.
     */
    private final class RecordingResponder implements CallerResponder {
        private final IdempotencyKey mKey;
        private final KeyLedger mLedger;
        private final CallerResponder mFirstResponder;

        RecordingResponder(IdempotencyKey key, KeyLedger ledger, CallerResponder firstResponder) {
            mKey = key;
            mLedger = ledger;
            mFirstResponder = firstResponder;
        }

        @Override
        public void text(long offset, String text) {
            mFirstResponder.text(offset, text);
        }

        @Override
        public void complete(CallerResponse answer) {
            mLedger.recordOutcome(mKey, KeyOutcome.done(200, answer.toJson()));
            mFirstResponder.complete(answer);
            for (CallerResponder joined : removeJoinedResponders()) {
                joined.complete(answer);
            }
        }

        @Override
        public void fail(Problem problem) {
            boolean notRun = problem.verdict() == Verdict.NOT_RUN;
            mLedger.recordOutcome(mKey, notRun ? KeyOutcome.notRun() : KeyOutcome.unknown());
            RetryAdvice advice =
                    notRun && problem.advice() == RetryAdvice.RETRY
                            ? RetryAdvice.RETRY_SAME_KEY
                            : problem.advice();
            Problem keyed =
                    Problem.failure(problem.code(), problem.verdict(), advice, problem.detail());
            mFirstResponder.fail(keyed);
            removeJoinedResponders().forEach(joined -> joined.fail(keyed));
        }

        private List<CallerResponder> removeJoinedResponders() {
            List<CallerResponder> joined = mJoinedResponders.remove(mKey.toString());
            return joined == null ? List.of() : joined;
        }
    }
}
