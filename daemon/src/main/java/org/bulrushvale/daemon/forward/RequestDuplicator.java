package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.retry.DuplicatePolicy;
import org.bulrushvale.decision.retry.DuplicatePolicy.Decision;
import org.bulrushvale.kernel.event.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request to a second server when its first attempt is slow.
 *
 * <p>Invariant: a request has at most one duplicate, which is charged to the limit and the repeat
 * budget before it is sent; nothing is scheduled or recorded for routes that may not be duplicated.
 * Thread safety: used on the event loop.
 */
final class RequestDuplicator {
    private static final String KIND = "request";

    // An attempt that could not be duplicated at its delay is examined again after a part of it.
    private static final int RECHECKS_PER_DELAY = 4;
    private static final Duration MIN_RECHECK_PERIOD = Duration.ofMillis(20);

    private final ForwardServices mServices;
    private final CallerRequestMetadata mRequestMetadata;
    private final Route mRoute;
    private final String mService;
    private final RequestTimeLimits mTimeLimits;
    private final Sender mSender;
    private EventLoop.@Nullable ScheduledTask mCheck;
    private boolean mSent;
    private boolean mRunning;
    private boolean mEnded;
    private boolean mFirstAnswered;

    RequestDuplicator(
            ForwardServices services,
            CallerRequestMetadata metadata,
            Route route,
            String service,
            RequestTimeLimits timeLimits,
            Sender sender) {
        mServices = services;
        mRequestMetadata = metadata;
        mRoute = route;
        mService = service;
        mTimeLimits = timeLimits;
        mSender = sender;
    }

    /** Sends duplicates of the request. */
    interface Sender {
        /** Returns true when nothing but the attempt is in progress, and it may be duplicated. */
        boolean mayDuplicate(RunningAttempt attempt);

        /** Returns the server among the candidates that may receive the request now, or null. */
        @Nullable Server choose(List<Server> candidates);

        /** Sends the duplicate. */
        void sendDuplicate(Server server);
    }

    private Duplicates duplicates() {
        return mServices.duplicates();
    }

    private boolean isOff() {
        return !duplicates().covers(mRoute);
    }

    /** Records a request of a caller; the limit applies to the work of all routes. */
    void onRequest() {
        if (duplicates().isOn()) {
            duplicates().policy().recordRequest(mService, mRequestMetadata.promptTokens());
        }
    }

    /** Begins to watch an attempt. */
    void onSent(RunningAttempt attempt) {
        if (isOff() || attempt.isDuplicate() || mSent) {
            return;
        }
        cancelCheck();
        DuplicatePolicy.Attempt watched = describe(attempt);
        duplicates()
                .policy()
                .delay(watched)
                .ifPresent(
                        delay -> {
                            Duration recheck = delay.dividedBy(RECHECKS_PER_DELAY);
                            schedule(delay, () -> onSlow(attempt, longer(recheck)));
                        });
    }

    private static Duration longer(Duration period) {
        return period.compareTo(MIN_RECHECK_PERIOD) > 0 ? period : MIN_RECHECK_PERIOD;
    }

    private DuplicatePolicy.Attempt describe(RunningAttempt attempt) {
        return new DuplicatePolicy.Attempt(
                mService,
                mRoute.name(),
                mRequestMetadata.promptTokens(),
                attempt.server().published().id(),
                attempt.sentNanos());
    }

    private void schedule(Duration delay, Runnable check) {
        mCheck = mServices.loop().schedule(delay, check);
    }

    private void cancelCheck() {
        EventLoop.ScheduledTask check = mCheck;
        mCheck = null;
        if (check != null) {
            check.cancel();
        }
    }

    private void onSlow(RunningAttempt attempt, Duration recheckPeriod) {
        if (mSender.mayDuplicate(attempt)) {
            duplicates().policy().recordSlow(describe(attempt));
            check(attempt, recheckPeriod, true);
        }
    }

    private void check(RunningAttempt attempt, Duration recheckPeriod, boolean first) {
        if (mEnded || !mSender.mayDuplicate(attempt)) {
            return;
        }
        DuplicatePolicy policy = duplicates().policy();
        DuplicatePolicy.Attempt watched = describe(attempt);
        Duration left = mRoute.latencyTarget().minus(mTimeLimits.elapsed());
        Server server =
                mSender.choose(
                        policy.candidates(
                                watched,
                                attempt.server().published().domain(),
                                mServices.publishedState().directory().eligibleServers(mService)));
        Decision decision = policy.decide(watched, left, server != null);
        if (server != null && decision == Decision.SEND) {
            mSent = true;
            mRunning = true;
            log(attempt, server, left);
            mSender.sendDuplicate(server);
            return;
        }
        if (first) {
            duplicates().withheld(decision);
        }
        if (decision != Decision.TOO_LATE) {
            schedule(recheckPeriod, () -> check(attempt, recheckPeriod, false));
        }
    }

    private void log(RunningAttempt attempt, Server server, Duration left) {
        Duration delay = duplicates().policy().delay(describe(attempt)).orElse(Duration.ZERO);
        duplicates()
                .sent(KIND)
                .with("request", mRequestMetadata.id())
                .with("route", mRoute.name())
                .with("slow_server", attempt.server().published().id())
                .with("server", server.published().id())
                .with("ran_ms", ranMillis(attempt))
                .with("delay_ms", delay.toMillis())
                .with("left_ms", left.toMillis())
                .with("tokens", mRequestMetadata.promptTokens())
                .write();
    }

    private long ranMillis(RunningAttempt attempt) {
        return mServices.clock().elapsedSince(attempt.sentNanos()).toMillis();
    }

    /**
     * Records the first good answer, or the first event, of the request.
     *
     * @param cancelled the attempts that were in progress beside it
     */
    void onAnswered(RunningAttempt winner, Collection<RunningAttempt> cancelled) {
        cancelCheck();
        if (mFirstAnswered || isOff()) {
            return;
        }
        mFirstAnswered = true;
        recordTime(winner);
        cancelled.forEach(this::recordTime);
        if (mRunning) {
            end(winner.isDuplicate() ? Duplicates.Outcome.WON : Duplicates.Outcome.LOST, cancelled);
        }
    }

    private void recordTime(RunningAttempt attempt) {
        // A duplicate goes to a chosen server, so its time is not that of a usual attempt.
        if (!attempt.isDuplicate()) {
            duplicates().policy().recordAnswer(describe(attempt));
        }
    }

    /** Records that an attempt failed or was refused. */
    void onFailed(RunningAttempt attempt) {
        if (mRunning && attempt.isDuplicate()) {
            end(Duplicates.Outcome.FAILED, List.of(attempt));
        }
    }

    /** Records the end of the request, which cancelled the given attempts. */
    void onEnd(Collection<RunningAttempt> cancelled) {
        cancelCheck();
        mEnded = true;
        if (mRunning) {
            end(Duplicates.Outcome.ABANDONED, cancelled);
        }
    }

    private void end(Duplicates.Outcome outcome, Collection<RunningAttempt> wasted) {
        mRunning = false;
        long millis = wasted.stream().mapToLong(this::ranMillis).sum();
        long tokens = (long) wasted.size() * mRequestMetadata.promptTokens();
        duplicates()
                .ended(KIND, outcome, millis, tokens)
                .with("request", mRequestMetadata.id())
                .with("route", mRoute.name())
                .write();
    }
}
