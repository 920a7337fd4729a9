package org.bulrushvale.load;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.load.client.EntryClient;
import org.bulrushvale.load.mix.Arrival;
import org.bulrushvale.load.mix.Arrivals;
import org.bulrushvale.load.mix.ClassMix;
import org.bulrushvale.load.mix.Mix;
import org.bulrushvale.load.report.ClassTally;
import org.bulrushvale.load.report.RunReport;

/**
 * One run: sends each arrival at its intended time, whatever the answers to earlier ones are.
 *
 * <p>Invariant: no arrival is dropped silently; one above the limit of requests in flight is
 * counted as unsent. The run ends after its duration or its count, whichever comes first. Thread
 * safety: used by one thread, which paces the run; answers arrive on others.
 */
final class LoadRun {
    private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration GRACE = Duration.ofSeconds(3);

    /**
     * Bounds of a run. Thread safety: immutable.
     *
     * @param rate arrivals per second
     * @param duration length of the arrivals
     * @param count largest number of arrivals
     * @param seed seed of the arrivals
     * @param maxInFlight largest number of open requests
     */
    record Bounds(double rate, Duration duration, long count, long seed, int maxInFlight) {}

    private final Mix mMix;
    private final Bounds mBounds;
    private final EntryClient mClient;
    private final Clock mClock;
    private final PrintWriter mProgress;
    private final Semaphore mInFlight;
    private final Map<String, ClassTally> mTallies = new TreeMap<>();
    private long mNextProgress = PROGRESS_NANOS;

    LoadRun(Mix mix, Bounds bounds, EntryClient client, Clock clock, PrintWriter progress) {
        mMix = mix;
        mBounds = bounds;
        mClient = client;
        mClock = clock;
        mProgress = progress;
        mInFlight = new Semaphore(bounds.maxInFlight());
        mix.classes().forEach(workClass -> mTallies.put(workClass.name(), new ClassTally()));
    }

    /** Runs to the end and returns the report. */
    RunReport run() throws InterruptedException {
        Arrivals arrivals = new Arrivals(mMix, mBounds.rate(), mBounds.seed());
        long start = mClock.monotonicNanos();
        long limit = mBounds.duration().toNanos();
        Arrival arrival = arrivals.next();
        while (arrival.index() < mBounds.count() && arrival.intendedNanos() < limit) {
            waitUntil(start, arrival.intendedNanos());
            send(arrival, start + arrival.intendedNanos());
            arrival = arrivals.next();
        }
        awaitAnswers(start);
        double seconds = mClock.elapsedSince(start).toMillis() / 1000.0;
        return new RunReport(mBounds.seed(), mBounds.rate(), seconds, mTallies);
    }

    private void waitUntil(long start, long intended) throws InterruptedException {
        long elapsed = mClock.monotonicNanos() - start;
        while (elapsed < intended) {
            LockSupport.parkNanos(Math.min(intended, mNextProgress) - elapsed);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            elapsed = mClock.monotonicNanos() - start;
            progress(elapsed);
        }
        progress(elapsed);
    }

    private void progress(long elapsed) {
        if (elapsed < mNextProgress) {
            return;
        }
        mNextProgress = (elapsed / PROGRESS_NANOS + 1) * PROGRESS_NANOS;
        RunReport sofar = new RunReport(mBounds.seed(), mBounds.rate(), 0, mTallies);
        mProgress.printf(
                "t=%ds in_flight=%d %s%n",
                elapsed / PROGRESS_NANOS,
                mBounds.maxInFlight() - mInFlight.availablePermits(),
                sofar.total().line());
        mProgress.flush();
    }

    private void send(Arrival arrival, long intended) {
        ClassMix workClass = arrival.workClass();
        ClassTally tally = mTallies.get(workClass.name());
        if (tally == null) {
            throw new IllegalStateException("class without tally: " + workClass.name());
        }
        if (!mInFlight.tryAcquire()) {
            tally.unsent();
            return;
        }
        tally.sent();
        mClient.send(arrival)
                .whenComplete(
                        (result, error) -> {
                            tally.finished(result, intended, workClass.deadline());
                            mInFlight.release();
                        });
    }

    private void awaitAnswers(long start) throws InterruptedException {
        Duration longest =
                mMix.classes().stream()
                        .map(ClassMix::deadline)
                        .max(Duration::compareTo)
                        .orElse(Duration.ZERO)
                        .plus(GRACE);
        long end = mClock.monotonicNanos() + longest.toNanos();
        while (mClock.monotonicNanos() < end) {
            if (mInFlight.tryAcquire(mBounds.maxInFlight(), 200, TimeUnit.MILLISECONDS)) {
                return;
            }
            progress(mClock.monotonicNanos() - start);
        }
    }
}
