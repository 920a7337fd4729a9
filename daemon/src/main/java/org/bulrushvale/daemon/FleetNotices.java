package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.membership.SharedRecords;
import org.bulrushvale.kernel.event.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Spreads records that entries share over the fleet.
 *
 * <p>News goes to a few random entries at once, and each entry that learns something passes it on,
 * so the cost of one record for an entry does not grow with the fleet. What got lost, or what an
 * entry missed while it was down, frozen or cut off, is made up for by a periodic comparison of
 * digests with random entries.
 *
 * <p>Thread safety: used on the event loop.
 *
 * @param <R> type of the records
 */
public final class FleetNotices<R> {
    private static final int PUSH_TARGETS = 4;
    private static final int COMPARE_TARGETS = 2;
    private static final Duration COMPARE_PERIOD = Duration.ofSeconds(1);

    // A starting entry compares more often, because it knows nothing.
    private static final Duration STARTUP_COMPARE_PERIOD = Duration.ofMillis(200);
    private static final int STARTUP_COMPARES = 6;

    private final SharedRecords<R> mRecords;
    private final BiFunction<Long, List<R>, PeerMessage.Notice<R>> mNewNotice;
    private final int mMaxRecordsPerNotice;
    private final Consumer<List<R>> mOnLearned;
    private Peers mPeers = new NoPeers();

    /**
     * Creates notices that keep the records of this entry up to date.
     *
     * @param newNotice creates a message from a digest and records
     * @param maxRecordsPerNotice keeps a notice small; further records follow in other notices
     * @param onLearned called with the records that other entries changed
     */
    public FleetNotices(
            SharedRecords<R> records,
            BiFunction<Long, List<R>, PeerMessage.Notice<R>> newNotice,
            int maxRecordsPerNotice,
            Consumer<List<R>> onLearned) {
        mRecords = records;
        mNewNotice = newNotice;
        mMaxRecordsPerNotice = maxRecordsPerNotice;
        mOnLearned = onLearned;
    }

    /** Begins to exchange records with the other entries. */
    public void start(EventLoop loop, Peers peers) {
        loop.execute(() -> connect(peers));
        for (int i = 1; i <= STARTUP_COMPARES; i++) {
            loop.schedule(STARTUP_COMPARE_PERIOD.multipliedBy(i), this::compare);
        }
        loop.scheduleWithFixedDelay(COMPARE_PERIOD, this::compare);
    }

    /** The other entries of the fleet. */
    public interface Peers {
        /** Returns at most {@code count} random entries. */
        Collection<String> choose(int count);

        /** As {@link #choose}, but prefers entries that a message costs less to. */
        default Collection<String> chooseConnected(int count) {
            return choose(count);
        }

        /**
         * Sends a notice; calls {@code onAnswer} on the event loop, with null when there is no
         * answer of the same kind.
         */
        <R> void request(
                String peer,
                PeerMessage.Notice<R> notice,
                Consumer<PeerMessage.@Nullable Notice<R>> onAnswer);
    }

    void connect(Peers peers) {
        mPeers = peers;
    }

    /** Sends records that changed at this entry to other entries. */
    public void push(List<R> changed) {
        for (int from = 0; from < changed.size(); from += mMaxRecordsPerNotice) {
            int to = Math.min(changed.size(), from + mMaxRecordsPerNotice);
            PeerMessage.Notice<R> notice = notice(changed.subList(from, to));
            for (String peer : mPeers.choose(PUSH_TARGETS)) {
                mPeers.request(peer, notice, this::learn);
            }
        }
    }

    private PeerMessage.Notice<R> notice(List<R> records) {
        return mNewNotice.apply(mRecords.digest(), records);
    }

    /** Compares digests with random entries, and exchanges records where they differ. */
    void compare() {
        PeerMessage.Notice<R> digest = notice(List.of());
        for (String peer : mPeers.chooseConnected(COMPARE_TARGETS)) {
            mPeers.request(peer, digest, answer -> onDigestAnswer(peer, answer));
        }
    }

    private void onDigestAnswer(String peer, PeerMessage.@Nullable Notice<R> answer) {
        learn(answer);
        if (answer != null && mRecords.digest() != answer.digest() && !mRecords.isEmpty()) {
            mPeers.request(peer, fullNotice(), this::learn);
        }
    }

    private void learn(PeerMessage.@Nullable Notice<R> answer) {
        if (answer != null) {
            merge(answer);
        }
    }

    /** Merges a notice of another entry; returns the answer to it. */
    public PeerMessage.Notice<R> receive(PeerMessage.Notice<R> received) {
        if (received.records().isEmpty() && received.digest() != mRecords.digest()) {
            return fullNotice();
        }
        return notice(merge(received));
    }

    private List<R> merge(PeerMessage.Notice<R> received) {
        SharedRecords.Merged<R> merged = mRecords.merge(received.records());
        if (!merged.changed().isEmpty()) {
            mOnLearned.accept(merged.changed());
            push(merged.changed());
        }
        return merged.corrections();
    }

    private PeerMessage.Notice<R> fullNotice() {
        return notice(mRecords.records(mMaxRecordsPerNotice));
    }

    private static final class NoPeers implements Peers {
        @Override
        public Collection<String> choose(int count) {
            return List.of();
        }

        @Override
        public <R> void request(
                String peer,
                PeerMessage.Notice<R> notice,
                Consumer<PeerMessage.@Nullable Notice<R>> onAnswer) {
            onAnswer.accept(null);
        }
    }
}
