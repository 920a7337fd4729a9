package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.ManualClock;

/**
 * Virtual-time simulation of one stage service with a collector and callers that retry once.
 *
 * <p>Thread safety: used by one test at a time.
 */
final class StageLoadSimulation {
    static final String SERVICE = "encoders";
    private static final long MILLI = 1_000_000L;
    private static final long RESULT_BYTES = 1_500_000;
    private static final long FIRST_EVENT_MILLIS = 200;
    private static final long FIRST_STAGE_GRACE_MILLIS = 300;
    // Entries notice the death of a collector within the silence limit.
    private static final long SILENCE_MILLIS = 1_000;
    private static final Duration CALL_TIME_LIMIT = Duration.ofMillis(2_500);
    // Distinguishes the groups of a request at the second collector.
    private static final int FIRST_COLLECTORS_TRIES = 100;
    private static final int[] SIZES = {1, 1, 1, 1, 2, 2, 2, 2, 2, 3, 3, 3, 3, 4, 4, 5, 5, 6, 7, 8};
    static final PieceLimits LIMITS =
            new PieceLimits(1, 12, Duration.ofMillis(200), Duration.ofMillis(8), 28_000_000);

    /** A class of requests; times in ms. */
    record Load(
            String name,
            int rank,
            long target,
            long patience,
            long deadline,
            double worthInTime,
            double worthLate,
            long returnMillis,
            ToDoubleFunction<Long> perSecondAtMillis) {}

    /** What callers of one class got. */
    static final class Tally {
        int mOffered;
        int mServed;
        int mInTime;
        int mRefusedTwice;
        int mUnanswered;
        int mReturned;
        double mWorth;
        long mHeldUnservedMillis;
        final int[] mOfferedBySize = new int[SIZES.length];
        final int[] mServedBySize = new int[SIZES.length];

        double served() {
            return (double) mServed / mOffered;
        }

        double servedOfSizes(int from, int to) {
            int offered = 0;
            int served = 0;
            for (int size = from; size <= to; size++) {
                offered += mOfferedBySize[size];
                served += mServedBySize[size];
            }
            return (double) served / offered;
        }

        /** Returns the part of the worth that the class would have if all were in time. */
        double worthShare(Load load) {
            return mWorth / mOffered / load.worthInTime();
        }

        int unserved() {
            return mOffered - mServed;
        }
    }

    private final class Request {
        private final Load mLoad;
        private final String mName;
        private final int mSize;
        private final long mFirstArrival = mClock.monotonicNanos();
        private long mArrival = mFirstArrival;
        private long mLeaves;
        private int mTries;
        private int mMissing;
        private boolean mRefused;
        private boolean mEnded;

        Request(Load load, int number) {
            mLoad = load;
            mName = load.name() + number;
            mSize = SIZES[mRandom.nextInt(SIZES.length)];
        }
    }

    private record SimPiece(Request request, int tries, int index, long startBy, long giveUp)
            implements StageQueue.Piece {
        @Override
        public long deadlineNanos() {
            return request.mFirstArrival + request.mLoad.deadline() * MILLI;
        }

        @Override
        public String name() {
            return group() + "/" + index;
        }

        @Override
        public String group() {
            return request.mName + "-" + tries;
        }

        @Override
        public int rank() {
            return request.mLoad.rank();
        }

        /** The workspace of a load is the part of its name before a slash. */
        @Override
        public String workspace() {
            return request.mLoad.name().replaceFirst("/.*", "");
        }

        @Override
        public long latestStartNanos() {
            return startBy;
        }

        @Override
        public long giveUpNanos() {
            return giveUp;
        }

        @Override
        public long resultBytes() {
            return RESULT_BYTES;
        }

        @Override
        public String preferredDomain() {
            return "";
        }

        @Override
        public boolean isAbandoned() {
            return request.mEnded;
        }

        @Override
        public boolean avoids(String server) {
            return false;
        }
    }

    private record Event(long at, long number, Runnable task) {}

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final BackendDirectory mDirectory = new BackendDirectory(mClock);
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::number));
    private final Map<String, Tally> mTallies = new HashMap<>();
    private final Set<Request> mActive = new LinkedHashSet<>();
    private final SplittableRandom mRandom;
    private final boolean mQueueOn;
    private final boolean mReturnTimes;
    private StageQueue<SimPiece> mQueue;
    private StageAdmission<SimPiece> mAdmission;
    private ToDoubleFunction<Server> mSlowness = server -> 1;
    private long mEventNumber;
    private long mEndNanos;
    private long mLostUntilMillis;
    private boolean mFairShares;

    StageLoadSimulation(long seed, boolean queueOn, boolean returnTimes, int servers) {
        mReturnTimes = returnTimes;
        mRandom = new SplittableRandom(seed);
        mQueueOn = queueOn;
        for (int i = 0; i < servers; i++) {
            mDirectory.put(TestServers.warm("s" + i, SERVICE, "a"));
        }
        startCollector();
    }

    /** Divides the service among the loads by equal shares. */
    void useFairShares() {
        mFairShares = true;
        startCollector();
    }

    /** Sets until when the results that the collector sends to entries are lost. */
    void loseAnswersUntil(long millis) {
        mLostUntilMillis = millis;
    }

    /**
     * Ends the collector: its queue and the results of its calls are lost. The entries send the
     * jobs to the next collector, which starts empty, after the silence limit.
     */
    void killCollector() {
        startCollector();
        for (Request request : List.copyOf(mActive)) {
            if (!request.mRefused) {
                request.mMissing = request.mSize;
                request.mTries += FIRST_COLLECTORS_TRIES;
                after(SILENCE_MILLIS, () -> enqueue(request));
            }
        }
    }

    private void startCollector() {
        StageOrder order = mQueueOn ? StageOrder.RANK_FIRST : StageOrder.TARGET_FIRST;
        Optional<FairShares> shares =
                mFairShares ? Optional.of(new FairShares(mClock)) : Optional.empty();
        mQueue = new StageQueue<>(mClock, Duration.ofSeconds(5).toNanos(), order, shares);
        mAdmission = new StageAdmission<>(mClock, mQueue, mReturnTimes);
    }

    /** Sets by how much the calls of a server take longer; infinity for a server that is gone. */
    void setSlowness(ToDoubleFunction<Integer> slowness) {
        mSlowness =
                server ->
                        slowness.applyAsDouble(
                                Integer.parseInt(server.published().id().substring(1)));
    }

    long millis() {
        return mClock.monotonicNanos() / MILLI;
    }

    void after(long millis, Runnable task) {
        mEvents.add(new Event(mClock.monotonicNanos() + millis * MILLI, mEventNumber++, task));
    }

    /** Runs until all callers have an answer; requests arrive for the given time. */
    Map<String, Tally> run(Duration arrivals, List<Load> loads) {
        mEndNanos = mClock.monotonicNanos() + arrivals.toNanos();
        loads.forEach(this::add);
        after(50, this::dispatchPeriodically);
        long last = mEndNanos + Duration.ofSeconds(20).toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().at() <= last) {
            Event event = mEvents.remove();
            mClock.advance(Duration.ofNanos(event.at() - mClock.monotonicNanos()));
            event.task().run();
        }
        mActive.forEach(request -> mTallies.get(request.mLoad.name()).mUnanswered++);
        return mTallies;
    }

    /** Adds a load whose requests arrive from now on. */
    void add(Load load) {
        mTallies.put(load.name(), new Tally());
        scheduleArrival(load, 0);
    }

    private void scheduleArrival(Load load, int number) {
        double rate = load.perSecondAtMillis().applyAsDouble(millis());
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) * 1_000 / rate);
        after(
                Math.max(1, gap),
                () -> {
                    if (mClock.monotonicNanos() < mEndNanos) {
                        Request request = new Request(load, number);
                        mTallies.get(load.name()).mOffered++;
                        mTallies.get(load.name()).mOfferedBySize[request.mSize]++;
                        arrive(request);
                        scheduleArrival(load, number + 1);
                    }
                });
    }

    private void dispatchPeriodically() {
        dispatch();
        after(50, this::dispatchPeriodically);
    }

    private void arrive(Request request) {
        request.mTries++;
        request.mRefused = false;
        request.mArrival = mClock.monotonicNanos();
        request.mMissing = request.mSize;
        mActive.add(request);
        enqueue(request);
    }

    private void enqueue(Request request) {
        Load load = request.mLoad;
        long following = (long) (LIMITS.typicalCallTime().toMillis() * 1.3) + FIRST_EVENT_MILLIS;
        long startBy = request.mFirstArrival + (load.target() - following) * MILLI;
        long leaves =
                Math.min(
                        request.mArrival + load.patience() * MILLI,
                        request.mFirstArrival + load.deadline() * MILLI);
        request.mLeaves = leaves;
        long giveUp = leaves - following * MILLI;
        if (!mQueueOn) {
            long half = request.mArrival + (load.deadline() / 2 - following) * MILLI;
            long grace = Math.max(startBy, request.mArrival) + FIRST_STAGE_GRACE_MILLIS * MILLI;
            giveUp = Math.min(half, grace);
        }
        List<SimPiece> pieces = new ArrayList<>();
        for (int i = 0; i < request.mSize; i++) {
            pieces.add(new SimPiece(request, request.mTries, i, startBy, giveUp));
        }
        if (mQueueOn) {
            List<Server> servers = mDirectory.eligibleServers(SERVICE);
            StageAdmission.Forecast forecast = mAdmission.offer(pieces, servers, LIMITS);
            if (!forecast.admitted()) {
                refuse(request, request.mTries, forecast.returnMillis());
            }
        } else {
            pieces.forEach(mQueue::add);
        }
        dispatch();
    }

    private void refuse(Request request, int tries, OptionalLong returnMillis) {
        if (request.mEnded || request.mRefused || request.mTries != tries) {
            return;
        }
        request.mRefused = true;
        Tally tally = mTallies.get(request.mLoad.name());
        long now = mClock.monotonicNanos();
        if (request.mTries % FIRST_COLLECTORS_TRIES == 2) {
            end(request);
            tally.mRefusedTwice++;
            tally.mHeldUnservedMillis += (now - request.mFirstArrival) / MILLI;
        } else {
            tally.mReturned++;
            boolean honours = request.mLoad.returnMillis() > 0;
            long millis = honours ? returnMillis.orElse(request.mLoad.returnMillis()) : 0;
            after(millis, () -> arrive(request));
        }
    }

    private void end(Request request) {
        request.mEnded = true;
        mActive.remove(request);
    }

    private void dispatch() {
        List<Server> servers = mDirectory.eligibleServers(SERVICE);
        mQueue.removeExpired()
                .forEach(piece -> refuse(piece.request(), piece.tries(), OptionalLong.empty()));
        if (mQueueOn) {
            mAdmission
                    .refuseHopeless(servers, LIMITS)
                    .forEach(
                            refusal -> {
                                SimPiece first = refusal.pieces().get(0);
                                refuse(
                                        first.request(),
                                        first.tries(),
                                        refusal.forecast().returnMillis());
                            });
        }
        mQueue.nextCalls(servers, LIMITS).forEach(this::start);
    }

    private void start(StageQueue.Call<SimPiece> call) {
        long startedNanos = mClock.monotonicNanos();
        long expected = LIMITS.callTime(call.pieces().size()).toMillis();
        double millis = expected * mSlowness.applyAsDouble(call.server());
        StageQueue<SimPiece> queue = mQueue;
        if (millis >= CALL_TIME_LIMIT.toMillis()) {
            after(CALL_TIME_LIMIT.toMillis(), () -> onLost(queue, call));
        } else {
            after((long) millis, () -> onAnswer(queue, call, millis / expected));
        }
    }

    private void onLost(StageQueue<SimPiece> queue, StageQueue.Call<SimPiece> call) {
        call.server().recordFailure(mClock.monotonicNanos());
        queue.recordCallEnd(call.server().published().id());
        call.pieces().forEach(piece -> queue.releaseResult(piece.name()));
        call.pieces().stream().filter(piece -> !piece.isAbandoned()).forEach(queue::addAgain);
        dispatch();
    }

    private void onAnswer(
            StageQueue<SimPiece> queue, StageQueue.Call<SimPiece> call, double ratio) {
        call.server().recordSuccess();
        call.server().recordSlowdown(ratio, mClock.monotonicNanos());
        queue.recordCallEnd(call.server().published().id());
        for (SimPiece piece : call.pieces()) {
            if (piece.isAbandoned() || piece.tries() != piece.request().mTries) {
                queue.releaseResult(piece.name());
            } else if (--piece.request().mMissing == 0 && millis() < mLostUntilMillis) {
                // The entry answers at its own limit, and the servers drop the results by
                // themselves.
                long left = (piece.request().mLeaves - mClock.monotonicNanos()) / MILLI;
                after(left, () -> refuse(piece.request(), piece.tries(), OptionalLong.empty()));
            } else if (piece.request().mMissing == 0) {
                after(FIRST_EVENT_MILLIS, () -> onFirstEvent(queue, piece));
            }
        }
        dispatch();
    }

    private void onFirstEvent(StageQueue<SimPiece> queue, SimPiece last) {
        Request request = last.request();
        if (request.mTries != last.tries()) {
            return;
        }
        for (int i = 0; i < request.mSize; i++) {
            queue.releaseResult(last.group() + "/" + i);
        }
        long tookMillis = (mClock.monotonicNanos() - request.mFirstArrival) / MILLI;
        long thisTryMillis = (mClock.monotonicNanos() - request.mArrival) / MILLI;
        Tally tally = mTallies.get(request.mLoad.name());
        end(request);
        if (thisTryMillis <= request.mLoad.patience() && tookMillis <= request.mLoad.deadline()) {
            boolean inTime = tookMillis <= request.mLoad.target();
            tally.mServed++;
            tally.mServedBySize[request.mSize]++;
            tally.mInTime += inTime ? 1 : 0;
            tally.mWorth += inTime ? request.mLoad.worthInTime() : request.mLoad.worthLate();
        }
        dispatch();
    }
}
