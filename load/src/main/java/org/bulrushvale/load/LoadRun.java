package org.bulrushvale.load;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.load.client.RequestSender;
import org.bulrushvale.load.mix.Arrival;
import org.bulrushvale.load.mix.ArrivalGenerator;
import org.bulrushvale.load.mix.ClassMix;
import org.bulrushvale.load.mix.Mix;
import org.bulrushvale.load.report.ClassTally;
import org.bulrushvale.load.report.RunReport;

/**
 * One open-loop run: sends each request at its intended time, without waiting for earlier answers.
 *
 * <p>Invariant: no arrival is dropped silently; one that would exceed the limit of requests in
 * flight is counted as unsent. The run ends after its duration or its count, whichever comes first.
 * Thread safety: used by one thread, which paces the run; other threads process the answers.
 */
final class LoadRun {
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration RUN_END_GRACE_PERIOD = Duration.ofSeconds(3);

    /**
     * Bounds of a run. Thread safety: immutable.
     *
     * @param rate arrivals per second
     * @param duration period in which requests are sent
     * @param count maximum number of arrivals
     * @param seed seed of the random arrivals
     * @param maxInFlight maximum number of requests in flight
     */
    record Bounds(double rate, Duration duration, long count, long seed, int maxInFlight) {}

    private final Mix mMix;
    private final Bounds mBounds;
    private final RequestSender mSender;
    private final Clock mClock;
    private final PrintWriter mProgressWriter;
    private final Semaphore mInFlight;
    private final Map<String, ClassTally> mTallies = new TreeMap<>();
    private long mNextProgressNanos = PROGRESS_INTERVAL_NANOS;

    LoadRun(Mix mix, Bounds bounds, RequestSender sender, Clock clock, PrintWriter progressWriter) {
        mMix = mix;
        mBounds = bounds;
        mSender = sender;
        mClock = clock;
        mProgressWriter = progressWriter;
        mInFlight = new Semaphore(bounds.maxInFlight());
        mix.classes().forEach(workClass -> mTallies.put(workClass.name(), new ClassTally()));
    }

    /** Sends all requests, waits for their answers and returns the report. */
    RunReport run() throws InterruptedException {
        ArrivalGenerator arrivals = new ArrivalGenerator(mMix, mBounds.rate(), mBounds.seed());
        long startNanos = mClock.monotonicNanos();
        long durationNanos = mBounds.duration().toNanos();
        Arrival arrival = arrivals.next();
        while (arrival.index() < mBounds.count() && arrival.intendedNanos() < durationNanos) {
            waitUntil(startNanos, arrival.intendedNanos());
            send(arrival, startNanos + arrival.intendedNanos());
            arrival = arrivals.next();
        }
        awaitAnswers(startNanos);
        double seconds = mClock.elapsedSince(startNanos).toMillis() / 1000.0;
        return new RunReport(mBounds.seed(), mBounds.rate(), seconds, mTallies);
    }

    private void waitUntil(long startNanos, long intendedNanos) throws InterruptedException {
        long elapsedNanos = mClock.monotonicNanos() - startNanos;
        while (elapsedNanos < intendedNanos) {
            LockSupport.parkNanos(Math.min(intendedNanos, mNextProgressNanos) - elapsedNanos);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            elapsedNanos = mClock.monotonicNanos() - startNanos;
            printProgress(elapsedNanos);
        }
        printProgress(elapsedNanos);
    }

    private void printProgress(long elapsedNanos) {
        if (elapsedNanos < mNextProgressNanos) {
            return;
        }
        mNextProgressNanos = (elapsedNanos / PROGRESS_INTERVAL_NANOS + 1) * PROGRESS_INTERVAL_NANOS;
        RunReport interimReport = new RunReport(mBounds.seed(), mBounds.rate(), 0, mTallies);
        mProgressWriter.printf(
                "t=%ds in_flight=%d %s%n",
                elapsedNanos / PROGRESS_INTERVAL_NANOS,
                mBounds.maxInFlight() - mInFlight.availablePermits(),
                interimReport.total().summaryLine());
        mProgressWriter.flush();
    }

    private void send(Arrival arrival, long intendedNanos) {
        ClassMix workClass = arrival.workClass();
        ClassTally tally = mTallies.get(workClass.name());
        if (tally == null) {
            throw new IllegalStateException("no tally for class " + workClass.name());
        }
        if (!mInFlight.tryAcquire()) {
            tally.recordUnsent();
            return;
        }
        tally.recordSent();
        mSender.send(arrival)
                .whenComplete(
                        (result, error) -> {
                            tally.recordFinished(result, intendedNanos, workClass.deadline());
                            mInFlight.release();
                        });
    }

    private void awaitAnswers(long startNanos) throws InterruptedException {
        Duration maxWait =
                mMix.classes().stream()
                        .map(ClassMix::deadline)
                        .max(Duration::compareTo)
                        .orElse(Duration.ZERO)
                        .plus(RUN_END_GRACE_PERIOD);
        long endNanos = mClock.monotonicNanos() + maxWait.toNanos();
        while (mClock.monotonicNanos() < endNanos) {
            if (mInFlight.tryAcquire(mBounds.maxInFlight(), 200, TimeUnit.MILLISECONDS)) {
                return;
            }
            printProgress(mClock.monotonicNanos() - startNanos);
        }
    }
}
