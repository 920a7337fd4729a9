package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The published items of one collection, merged from reads of the store and from the updates of
 * other entries.
 *
 * <p>Invariants: an item never goes back to an earlier revision, regardless of the order in which
 * reads and updates arrive; {@link #revision} never decreases, and every change up to it has been
 * applied. A complete update of a later era replaces all items, because the store was restored.
 * Thread safety: not safe; used by the event loop.
 */
public final class PublishedItems {
    // Removals are kept so that an update can name them. An entry that is further behind receives
    // all items.
    private static final int MAX_REMOVALS = 1_024;

    private final Map<String, PublishedItem> mItems = new HashMap<>();
    private StoreRevision mRevision = StoreRevision.NONE;
    private long mLastChangeRevision = -1;

    // Removals up to this revision may be missing, so an earlier change is never applied.
    private long mForgottenRevision = -1;

    /** Returns the revision up to which all changes are known; none before the first read. */
    public StoreRevision revision() {
        return mRevision;
    }

    /** Returns true once all items of the collection were received. */
    public boolean isComplete() {
        return mRevision.isKnown();
    }

    /** Returns the present items. */
    public List<PublishedItem> present() {
        return mItems.values().stream().filter(item -> !item.deleted()).toList();
    }

    /**
     * Applies an update and returns the items that it changed or removed, oldest change first.
     * Changes are ignored before the first complete update.
     */
    public List<PublishedItem> apply(Update update) {
        if (update.revision().era() != mRevision.era()) {
            return applyOfOtherEra(update);
        }
        List<PublishedItem> candidates = new ArrayList<>(update.items());
        if (update.complete()) {
            candidates.addAll(missingItems(update));
        }
        List<PublishedItem> changed = new ArrayList<>();
        for (PublishedItem item : candidates) {
            PublishedItem known = mItems.get(item.key());
            long knownRevision = known == null ? -1 : known.revision();
            boolean isNewer = item.revision() > Math.max(knownRevision, mForgottenRevision);
            if (isNewer) {
                mItems.put(item.key(), item);
                mLastChangeRevision = Math.max(mLastChangeRevision, item.revision());
                changed.add(item);
            }
        }
        if (update.complete() && update.revision().compareTo(mRevision) > 0) {
            // Items that came and went since the last known revision are not listed.
            mForgottenRevision = Math.max(mForgottenRevision, update.revision().number());
        }
        mRevision = StoreRevision.later(mRevision, update.revision());
        if (!changed.isEmpty()) {
            forgetOldRemovals();
        }
        changed.sort((a, b) -> Long.compare(a.revision(), b.revision()));
        return changed;
    }

    private List<PublishedItem> applyOfOtherEra(Update update) {
        boolean isLater = update.revision().compareTo(mRevision) > 0;
        if (!isLater || !update.complete()) {
            return List.of();
        }
        List<PublishedItem> changed = new ArrayList<>(missingItems(update));
        update.items().stream().filter(this::differsFromKnown).forEach(changed::add);
        mItems.clear();
        update.items().forEach(item -> mItems.put(item.key(), item));
        mRevision = update.revision();
        // Later pages may list items that changed after the revision of the first one.
        mLastChangeRevision =
                update.items().stream()
                        .mapToLong(PublishedItem::revision)
                        .reduce(update.revision().number(), Math::max);
        mForgottenRevision = update.revision().number();
        changed.sort((a, b) -> Long.compare(a.revision(), b.revision()));
        return changed;
    }

    /** Returns the number of items whose value in an update differs from the known one. */
    public long countDiffering(Update update) {
        return update.items().stream().filter(this::differsFromKnown).count();
    }

    private boolean differsFromKnown(PublishedItem item) {
        PublishedItem known = mItems.get(item.key());
        return known == null
                || known.deleted() != item.deleted()
                || !Arrays.equals(known.value(), item.value());
    }

    private List<PublishedItem> missingItems(Update update) {
        Set<String> listed = new HashSet<>();
        update.items().forEach(item -> listed.add(item.key()));
        return present().stream()
                .filter(item -> !listed.contains(item.key()))
                .filter(item -> isBefore(item, update.revision()))
                .map(item -> PublishedItem.removed(item.key(), update.revision().number()))
                .toList();
    }

    private boolean isBefore(PublishedItem known, StoreRevision revision) {
        return new StoreRevision(mRevision.era(), known.revision()).compareTo(revision) < 0;
    }

    private void forgetOldRemovals() {
        List<PublishedItem> removals =
                mItems.values().stream()
                        .filter(PublishedItem::deleted)
                        .sorted((a, b) -> Long.compare(a.revision(), b.revision()))
                        .toList();
        for (PublishedItem removal :
                removals.subList(0, Math.max(0, removals.size() - MAX_REMOVALS))) {
            mItems.remove(removal.key());
            mForgottenRevision = Math.max(mForgottenRevision, removal.revision());
        }
    }

    /** Returns what an entry lacks that knows all changes up to the revision {@code known}. */
    public Update changesSince(StoreRevision known) {
        if (known.era() != mRevision.era()) {
            // An entry of a later era ignores the answer and reads the store.
            boolean isLater = known.compareTo(mRevision) > 0;
            return new Update(isLater ? List.of() : present(), mRevision, !isLater);
        }
        long revision = known.number();
        if (revision >= Math.max(mLastChangeRevision, mForgottenRevision)) {
            return new Update(List.of(), mRevision, false);
        }
        boolean complete = revision < mForgottenRevision;
        List<PublishedItem> items =
                complete
                        ? present()
                        : mItems.values().stream()
                                .filter(item -> item.revision() > revision)
                                .toList();
        return new Update(items, mRevision, complete);
    }

    /**
     * Changes of a collection.
     *
     * <p>Thread safety: immutable.
     *
     * @param revision revision up to which the update contains all changes
     * @param complete true when the update contains all present items of the collection
     */
    public record Update(List<PublishedItem> items, StoreRevision revision, boolean complete) {
        public Update {
            items = List.copyOf(items);
        }

        /** Returns true when the update changes what the entry that lacks it knows. */
        public boolean hasNews() {
            return complete || !items.isEmpty();
        }
    }
}
