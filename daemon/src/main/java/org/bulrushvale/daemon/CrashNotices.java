package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.decision.retry.CrashSuspects;
import org.bulrushvale.kernel.event.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Spreads what entries know about crashes beside contents over the fleet.
 *
 * <p>News goes to a few random entries at once, and each entry that learns something passes it on,
 * so the cost of one crash for an entry does not grow with the fleet. What got lost, or what an
 * entry missed while it was down, frozen or cut off, is made up for by a periodic comparison of
 * digests with random entries.
 *
 * <p>Thread safety: used on the event loop.
 */
public final class CrashNotices {
    private static final int PUSH_TARGETS = 4;
    private static final int COMPARE_TARGETS = 2;
    private static final Duration COMPARE_PERIOD = Duration.ofSeconds(1);

    // A starting entry compares more often, because it knows nothing.
    private static final Duration STARTUP_COMPARE_PERIOD = Duration.ofMillis(200);
    private static final int STARTUP_COMPARES = 6;

    // About 10 KB at 150 bytes per record.
    private static final int MAX_RECORDS_PER_NOTICE = 64;

    private final CrashSuspects mSuspects;
    private final Consumer<List<CrashRecord>> mOnLearned;
    private Peers mPeers = new NoPeers();

    /**
     * Creates notices that keep a table up to date.
     *
     * @param onLearned called with the records that other entries changed
     */
    public CrashNotices(CrashSuspects suspects, Consumer<List<CrashRecord>> onLearned) {
        mSuspects = suspects;
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

        /** Sends a message; calls {@code onAnswer} on the event loop, with null without one. */
        void request(String peer, PeerMessage message, Consumer<@Nullable PeerMessage> onAnswer);
    }

    void connect(Peers peers) {
        mPeers = peers;
    }

    /** Sends records that changed at this entry to other entries. */
    public void push(List<CrashRecord> changed) {
        for (int from = 0; from < changed.size(); from += MAX_RECORDS_PER_NOTICE) {
            int to = Math.min(changed.size(), from + MAX_RECORDS_PER_NOTICE);
            PeerMessage notice =
                    new PeerMessage.CrashNotice(mSuspects.digest(), changed.subList(from, to));
            for (String peer : mPeers.choose(PUSH_TARGETS)) {
                mPeers.request(peer, notice, this::learn);
            }
        }
    }

    /** Compares digests with random entries, and exchanges records where they differ. */
    void compare() {
        PeerMessage digest = new PeerMessage.CrashNotice(mSuspects.digest(), List.of());
        for (String peer : mPeers.choose(COMPARE_TARGETS)) {
            mPeers.request(peer, digest, answer -> onDigestAnswer(peer, answer));
        }
    }

    private void onDigestAnswer(String peer, @Nullable PeerMessage answer) {
        learn(answer);
        if (answer instanceof PeerMessage.CrashNotice notice
                && mSuspects.digest() != notice.digest()
                && !mSuspects.isEmpty()) {
            mPeers.request(peer, fullNotice(), this::learn);
        }
    }

    private void learn(@Nullable PeerMessage answer) {
        if (answer instanceof PeerMessage.CrashNotice notice) {
            merge(notice);
        }
    }

    /** Merges a notice of another entry; returns the answer to it. */
    public PeerMessage receive(PeerMessage.CrashNotice notice) {
        if (notice.records().isEmpty() && notice.digest() != mSuspects.digest()) {
            return fullNotice();
        }
        List<CrashRecord> corrections = merge(notice);
        return new PeerMessage.CrashNotice(mSuspects.digest(), corrections);
    }

    private List<CrashRecord> merge(PeerMessage.CrashNotice notice) {
        CrashSuspects.Merged merged = mSuspects.merge(notice.records());
        if (!merged.changed().isEmpty()) {
            mOnLearned.accept(merged.changed());
            push(merged.changed());
        }
        return merged.corrections();
    }

    private PeerMessage.CrashNotice fullNotice() {
        return new PeerMessage.CrashNotice(
                mSuspects.digest(), mSuspects.records(MAX_RECORDS_PER_NOTICE));
    }

    private static final class NoPeers implements Peers {
        @Override
        public Collection<String> choose(int count) {
            return List.of();
        }

        @Override
        public void request(
                String peer, PeerMessage message, Consumer<@Nullable PeerMessage> onAnswer) {
            onAnswer.accept(null);
        }
    }
}
