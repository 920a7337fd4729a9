package org.bulrushvale.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.kernel.time.ManualClock;
import org.jspecify.annotations.Nullable;

/**
 * Entries that exchange notices on virtual time: messages take up to 30 ms, some get lost, and an
 * entry that is killed, frozen or cut off neither sends nor receives.
 *
 * <p>Thread safety: used by one test at a time.
 */
final class VirtualNetwork {
    private static final double MESSAGE_LOSS = 0.05;
    private static final int MAX_TRANSIT_MILLIS = 30;
    private static final long COMPARE_MILLIS = 1_000;
    private static final long LONG_AGO_MILLIS = -60_000;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
    private final List<Node<?>> mNodes = new ArrayList<>();
    private long mOrder;

    VirtualNetwork(SplittableRandom random) {
        mRandom = random;
    }

    private record Event(long millis, long order, Runnable task) {}

    ManualClock clock() {
        return mClock;
    }

    long now() {
        return Duration.ofNanos(mClock.monotonicNanos()).toMillis();
    }

    void at(long millis, Runnable task) {
        mEvents.add(new Event(millis, mOrder++, task));
    }

    /** Runs all events; each entry compares its records once a second until a time. */
    void play(long untilMillis) {
        for (Node<?> node : mNodes) {
            long phase = mRandom.nextInt((int) COMPARE_MILLIS);
            for (long millis = phase; millis < untilMillis; millis += COMPARE_MILLIS) {
                at(millis, () -> node.mNotices.compare());
            }
        }
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mClock.advance(Duration.ofMillis(event.millis() - now()));
            event.task().run();
        }
    }

    /** Adds an entry. */
    <R> Node<R> join(FleetNotices<R> notices) {
        Node<R> node = new Node<>(mNodes.size(), notices);
        notices.connect(node);
        mNodes.add(node);
        return node;
    }

    /** One entry. */
    final class Node<T> implements FleetNotices.Peers {
        private final int mIndex;
        private FleetNotices<T> mNotices;
        private long mUnreachableUntil = LONG_AGO_MILLIS;

        private Node(int index, FleetNotices<T> notices) {
            mIndex = index;
            mNotices = notices;
        }

        FleetNotices<T> notices() {
            return mNotices;
        }

        /** Replaces the process of the entry by one that knows nothing. */
        void restart(FleetNotices<T> notices) {
            mNotices = notices;
            notices.connect(this);
        }

        void disturbUntil(long millis) {
            mUnreachableUntil = millis;
            at(millis + 200, () -> mNotices.compare());
        }

        /** Returns true while the entry is disturbed and for a time after that. */
        boolean isDisturbed(long marginMillis) {
            return now() < mUnreachableUntil + marginMillis;
        }

        @Override
        public Collection<String> choose(int count) {
            Set<String> chosen = new HashSet<>();
            while (chosen.size() < Math.min(count, mNodes.size() - 1)) {
                int index = mRandom.nextInt(mNodes.size());
                if (index != mIndex) {
                    chosen.add(String.valueOf(index));
                }
            }
            return chosen;
        }

        @Override
        @SuppressWarnings("unchecked")
        public <R> void request(
                String peer,
                PeerMessage.Notice<R> notice,
                Consumer<PeerMessage.@Nullable Notice<R>> onAnswer) {
            Node<R> other = (Node<R>) mNodes.get(Integer.parseInt(peer));
            if (isDisturbed(0) || mRandom.nextDouble() < MESSAGE_LOSS) {
                return;
            }
            at(
                    now() + 1 + mRandom.nextInt(MAX_TRANSIT_MILLIS),
                    () -> {
                        if (!other.isDisturbed(0)) {
                            PeerMessage answer = other.mNotices.receive(notice);
                            at(
                                    now() + 1 + mRandom.nextInt(MAX_TRANSIT_MILLIS),
                                    () -> onAnswer.accept(notice.answer(answer)));
                        }
                    });
        }
    }
}
