package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.PublishedStateWatcher;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.PublishedItem;
import org.bulrushvale.decision.forward.PublishedItems;
import org.bulrushvale.decision.forward.ServerHistory;
import org.bulrushvale.decision.forward.StoreReading;
import org.bulrushvale.decision.forward.StoreReadingPlan;
import org.bulrushvale.decision.forward.StoreRevision;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the published state of this entry current from the store or from another entry, and passes
 * it on to entries that ask for it.
 *
 * <p>Invariant: the state is applied in the order of the store's revisions, wherever it comes from.
 * Thread safety: used on the event loop; the listener methods may be called from any thread.
 */
final class PublishedStateRelay implements PublishedStateWatcher.ItemListener {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    // By then the servers of the first read are in use; entries start before they take requests.
    private static final Duration HISTORY_DELAY = Duration.ofMillis(200);

    // Start times that servers state may differ from the clock of this VM by that much.
    private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(5);

    // Leaves room for the other fields in a frame of the peer transport.
    private static final int MAX_ANSWER_BYTES = (1 << 20) + (32 << 10);
    private static final int ITEM_OVERHEAD_BYTES = 32;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final DecisionLog mLog;
    private final MemberTable mMembers;
    private final PeerRequester mPeers;
    private final PublishedStateWatcher mWatcher;
    private final PublishedState mState;
    private final StoreReadingPlan mPlan;
    private final Map<String, PublishedItems> mCollections = new LinkedHashMap<>();
    private final Map<String, Long> mReadNanos = new LinkedHashMap<>();
    private final List<WaitingFetch> mWaitingFetches = new ArrayList<>();
    private StoreReading mReading = StoreReading.OFF;
    private String mSource = "";
    private @Nullable String mAskedEntry;
    private boolean mStoreReachable = true;
    private boolean mSourceReachable;
    private boolean mHistoryRead;

    PublishedStateRelay(
            ForwardSettings settings,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            MemberTable members,
            PeerRequester peers,
            PublishedStateWatcher watcher,
            PublishedState state) {
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mMembers = members;
        mPeers = peers;
        mWatcher = watcher;
        mState = state;
        mPlan = new StoreReadingPlan(clock, members.self(), settings.fleet().freshness());
        watcher.collections().forEach(name -> mCollections.put(name, new PublishedItems()));
    }

    /** Sends requests to other entries. */
    @FunctionalInterface
    interface PeerRequester {
        /**
         * Sends a request and calls {@code onAnswer} on the event loop with the answer, or with
         * null when there is none within the timeout.
         */
        void request(
                String member,
                PeerMessage message,
                Duration timeout,
                Consumer<@Nullable PeerMessage> onAnswer);
    }

    /** Starts reading; the state is read from the store until another entry passes it on. */
    void start(ForwardSettings settings, UpstreamClient client) {
        mWatcher.start(settings.fleet().store(), client, settings.fleet().freshness(), this);
        mLoop.execute(this::update);
        mLoop.scheduleWithFixedDelay(CHECK_PERIOD, this::update);
    }

    private void update() {
        StoreReadingPlan.Step step =
                mPlan.decide(
                        mMembers.domainReaders(),
                        mStoreReachable ? List.of() : mMembers.otherDomainReaders(),
                        mStoreReachable);
        String source = step.source().orElse("");
        if (step.reading() != mReading || !source.equals(mSource)) {
            mLog.line("published_state_source")
                    .with("reading", step.reading().name())
                    .with("entry", source)
                    .with("age_ms", Math.min(mPlan.age().toMillis(), Integer.MAX_VALUE))
                    .write();
        }
        mSource = source;
        if (step.reading() != mReading) {
            mReading = step.reading();
            mReadNanos.clear();
            mWatcher.read(mReading, revisions());
        }
        if (mAskedEntry == null && !source.isEmpty()) {
            ask(source);
        }
        answerWaitingFetches();
    }

    private Map<String, StoreRevision> revisions() {
        Map<String, StoreRevision> revisions = new HashMap<>();
        mCollections.forEach((name, items) -> revisions.put(name, items.revision()));
        return revisions;
    }

    private void ask(String entry) {
        mAskedEntry = entry;
        List<PeerMessage.KnownRevision> known = new ArrayList<>();
        revisions()
                .forEach(
                        (name, revision) ->
                                known.add(new PeerMessage.KnownRevision(name, revision)));
        Duration timeout = mPlan.holdTime().multipliedBy(2);
        mPeers.request(
                entry,
                new PeerMessage.PublishedFetch(known),
                timeout,
                answer -> onAnswer(entry, answer));
    }

    private void onAnswer(String entry, @Nullable PeerMessage answer) {
        mAskedEntry = null;
        boolean fresh = false;
        if (answer instanceof PeerMessage.PublishedChanges changes) {
            Duration age = Duration.ofMillis(Math.max(0, changes.confirmationAgeMillis()));
            // A collection whose changes are too large for one answer is missing from it.
            boolean isWhole = changes.changes().size() == mCollections.size();
            fresh = isWhole && isCurrent(changes) && age.compareTo(mPlan.maxAge()) < 0;
            mSourceReachable = changes.storeReachable();
            reportReachable("entry " + entry);
            changes.changes().forEach(this::applyFromPeer);
            if (fresh && isComplete()) {
                recordConfirmed(age);
            }
        }
        if (!fresh) {
            mSourceReachable = false;
            mPlan.recordPassedOver(entry);
        }
        update();
    }

    /** Returns false when the sender does not know yet that the store was restored. */
    private boolean isCurrent(PeerMessage.PublishedChanges changes) {
        return changes.changes().stream()
                .noneMatch(
                        change -> {
                            PublishedItems known = mCollections.get(change.collection());
                            StoreRevision revision = change.update().revision();
                            return known != null && known.revision().isRestoredSince(revision);
                        });
    }

    private void applyFromPeer(PeerMessage.CollectionChanges changes) {
        PublishedItems items = mCollections.get(changes.collection());
        if (items != null) {
            apply(changes.collection(), items, changes.update());
        }
    }

    private boolean isComplete() {
        return mCollections.values().stream().allMatch(PublishedItems::isComplete);
    }

    @Override
    public void read(String collection, PublishedItems.Update update) {
        mLoop.execute(
                () -> {
                    PublishedItems items = mCollections.get(collection);
                    if (items == null) {
                        return;
                    }
                    apply(collection, items, update);
                    recordRead(collection);
                });
    }

    /** The state is as old as the collection whose last read is the oldest. */
    private void recordRead(String collection) {
        mReadNanos.put(collection, mClock.monotonicNanos());
        if (isComplete() && mReadNanos.size() == mCollections.size()) {
            Duration age = Duration.ZERO;
            for (long nanos : mReadNanos.values()) {
                Duration readAge = mClock.elapsedSince(nanos);
                age = readAge.compareTo(age) > 0 ? readAge : age;
            }
            recordConfirmed(age);
            answerWaitingFetches();
        }
    }

    private void recordConfirmed(Duration age) {
        mPlan.recordConfirmed(age);
        mState.confirmed(mPlan.age());
        if (!mHistoryRead) {
            mHistoryRead = true;
            mLoop.schedule(HISTORY_DELAY, this::readHistory);
        }
    }

    private void readHistory() {
        List<PublishedItem> present = new ArrayList<>();
        mCollections.values().forEach(items -> present.addAll(items.present()));
        long askedNanos = mClock.monotonicNanos();
        Instant time = mClock.now().minus(ServerHistory.MAX_AGE).minus(MAX_CLOCK_SKEW);
        mWatcher.readHistory(
                present, time, changes -> mState.addEarlierRegistrations(changes, askedNanos));
    }

    private void apply(String collection, PublishedItems items, PublishedItems.Update update) {
        boolean first = !items.isComplete() && update.complete();
        StoreRevision known = items.revision();
        boolean restored = update.complete() && update.revision().isRestoredSince(known);
        List<PublishedItem> changed = items.apply(update);
        if (update.complete()) {
            // Items that differ although all were applied show that revisions went back.
            mLog.line("published_state_read")
                    .with("collection", collection)
                    .with("known_era", known.era())
                    .with("known_revision", known.number())
                    .with("era", update.revision().era())
                    .with("revision", update.revision().number())
                    .with("changed", changed.size())
                    .with("differing", items.countDiffering(update))
                    .writeAlways();
        }
        if (update.complete() && !first) {
            mState.recordHistoryGap();
        }
        if (first || restored) {
            mWatcher.decode(collection, items.present(), true, mState);
        } else if (!changed.isEmpty()) {
            mWatcher.decode(collection, changed, false, mState);
        }
    }

    @Override
    public void reachable(boolean reachable, String detail) {
        mLoop.execute(
                () -> {
                    mStoreReachable = reachable;
                    reportReachable(detail);
                });
    }

    private void reportReachable(String detail) {
        boolean readsStore = mReading.isActive() && mStoreReachable;
        mState.reachable(readsStore || mSourceReachable, detail);
    }

    /** Returns true when the store confirmed the published state recently. */
    boolean isFresh() {
        return mPlan.isFresh();
    }

    /** Answers an entry that asks for the published state, or lets it wait for news. */
    void answer(PeerMessage.PublishedFetch fetch, PeerListener.Responder reply) {
        mWaitingFetches.add(new WaitingFetch(fetch, reply, mClock.monotonicNanos()));
        answerWaitingFetches();
    }

    private void answerWaitingFetches() {
        for (Iterator<WaitingFetch> i = mWaitingFetches.iterator(); i.hasNext(); ) {
            WaitingFetch waiting = i.next();
            Duration waited = mClock.elapsedSince(waiting.sinceNanos());
            List<PeerMessage.CollectionChanges> changes = changesFor(waiting.fetch());
            boolean hasNews = changes.stream().anyMatch(change -> change.update().hasNews());
            if (hasNews || waited.compareTo(mPlan.holdTime()) >= 0) {
                i.remove();
                waiting.reply().send(publishedChanges(changes));
            }
        }
    }

    /** Returns what the asking entry lacks, as far as it fits into one answer. */
    private List<PeerMessage.CollectionChanges> changesFor(PeerMessage.PublishedFetch fetch) {
        List<PeerMessage.CollectionChanges> changes = new ArrayList<>();
        long bytes = 0;
        for (PeerMessage.KnownRevision known : fetch.known()) {
            PublishedItems items = mCollections.get(known.collection());
            if (items == null || !items.isComplete()) {
                continue;
            }
            PublishedItems.Update update = items.changesSince(known.revision());
            for (PublishedItem item : update.items()) {
                bytes += item.key().length() + item.value().length + ITEM_OVERHEAD_BYTES;
            }
            if (bytes <= MAX_ANSWER_BYTES) {
                changes.add(new PeerMessage.CollectionChanges(known.collection(), update));
            }
        }
        return changes;
    }

    private PeerMessage publishedChanges(List<PeerMessage.CollectionChanges> changes) {
        boolean reachable = mReading.isActive() ? mStoreReachable : mSourceReachable;
        long ageMillis = Math.min(mPlan.age().toMillis(), Integer.MAX_VALUE);
        return new PeerMessage.PublishedChanges(ageMillis, reachable, changes);
    }

    /**
     * A request that waits for news.
     *
     * <p>Thread safety: immutable.
     *
     * @param sinceNanos monotonic time at which it arrived
     */
    private record WaitingFetch(
            PeerMessage.PublishedFetch fetch, PeerListener.Responder reply, long sinceNanos) {}
}
