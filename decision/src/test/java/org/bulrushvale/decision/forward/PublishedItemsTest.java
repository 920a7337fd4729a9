package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Guards against published items that go back to an earlier value, are lost or return after their
 * removal when reads of the store and updates of other entries arrive late, twice or out of order,
 * also when the store is restored from copies meanwhile.
 */
public class PublishedItemsTest {
    private static final int SEEDS = 300;
    private static final int ENTRIES = 4;

    @Test
    public void entries_agree_with_the_store_in_any_order_of_reads_and_updates() {
        System.out.println("PublishedItemsTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Store store = new Store();
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < ENTRIES; i++) {
                entries.add(new Entry());
            }
            List<Runnable> inTransit = new ArrayList<>();
            for (int step = 0; step < 400; step++) {
                store.change(random);
                if (random.nextInt(60) == 0) {
                    store.restore(random.nextInt(10));
                }
                Entry entry = entries.get(random.nextInt(ENTRIES));
                PublishedItems.Update update =
                        random.nextInt(3) == 0
                                ? store.read(entry.mItems.revision(), random.nextInt(5) == 0)
                                : entries.get(random.nextInt(ENTRIES))
                                        .mItems
                                        .changesSince(entry.mItems.revision());
                // Sent twice at times, and delivered in any order.
                for (int copies = 1 + random.nextInt(2); copies > 0; copies--) {
                    inTransit.add(() -> entry.apply(update));
                }
                while (inTransit.size() > 6) {
                    inTransit.remove(random.nextInt(inTransit.size())).run();
                }
                for (Entry known : entries) {
                    known.assertNeverAheadOrBack(store);
                }
            }
            inTransit.forEach(Runnable::run);
            for (Entry entry : entries) {
                entry.apply(store.read(entry.mItems.revision(), false));
                assertThat(entry.mApplied).as("seed %d", seed).isEqualTo(store.mValues);
            }
        }
    }

    @Test
    public void an_entry_that_missed_forgotten_removals_receives_all_items() {
        // given
        Store store = new Store();
        PublishedItems items = new PublishedItems();
        items.apply(store.read(StoreRevision.NONE, true));
        StoreRevision early = items.revision();
        // when more items are removed than the table remembers
        for (int i = 0; i < 3_000; i++) {
            store.put("k" + i, "v");
            store.remove("k" + i);
        }
        items.apply(store.read(early, false));
        // then
        assertThat(items.changesSince(early).complete()).isTrue();
        assertThat(items.changesSince(items.revision()).complete()).isFalse();
        assertThat(items.changesSince(items.revision()).items()).isEmpty();
    }

    @Test
    public void changes_before_the_first_complete_update_are_ignored() {
        PublishedItems items = new PublishedItems();
        PublishedItem item = new PublishedItem("a", new byte[0], 7, false);
        assertThat(
                        items.apply(
                                new PublishedItems.Update(
                                        List.of(item), new StoreRevision(1, 7), false)))
                .isEmpty();
        assertThat(items.isComplete()).isFalse();
    }

    /** The store, with the history of all changes. */
    private static final class Store {
        private final List<PublishedItem> mHistory = new ArrayList<>();
        private final Map<String, String> mValues = new HashMap<>();
        private long mEra = 1;

        StoreRevision revision() {
            return new StoreRevision(mEra, mHistory.size());
        }

        /** Goes back to a copy without the last changes and gives their revisions out again. */
        void restore(int lostChanges) {
            int kept = Math.max(0, mHistory.size() - lostChanges);
            mHistory.subList(kept, mHistory.size()).clear();
            mEra++;
            mValues.clear();
            for (PublishedItem item : mHistory) {
                if (item.deleted()) {
                    mValues.remove(item.key());
                } else {
                    mValues.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
                }
            }
        }

        void change(SplittableRandom random) {
            String key = "k" + random.nextInt(8);
            if (mValues.containsKey(key) && random.nextInt(3) == 0) {
                remove(key);
            } else {
                put(key, "v" + mEra + "." + mHistory.size());
            }
        }

        void put(String key, String value) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            mHistory.add(new PublishedItem(key, bytes, mHistory.size() + 1, false));
            mValues.put(key, value);
        }

        void remove(String key) {
            mHistory.add(PublishedItem.removed(key, mHistory.size() + 1));
            mValues.remove(key);
        }

        PublishedItems.Update read(StoreRevision after, boolean complete) {
            if (complete || after.era() != mEra) {
                Map<String, PublishedItem> present = new HashMap<>();
                for (PublishedItem item : mHistory) {
                    present.put(item.key(), item);
                }
                present.values().removeIf(PublishedItem::deleted);
                return new PublishedItems.Update(List.copyOf(present.values()), revision(), true);
            }
            return new PublishedItems.Update(
                    mHistory.subList((int) after.number(), mHistory.size()), revision(), false);
        }
    }

    /** An entry that applies the reported changes to a map. */
    private static final class Entry {
        private final PublishedItems mItems = new PublishedItems();
        private final Map<String, String> mApplied = new HashMap<>();
        private StoreRevision mLastRevision = StoreRevision.NONE;

        void apply(PublishedItems.Update update) {
            for (PublishedItem item : mItems.apply(update)) {
                if (item.deleted()) {
                    mApplied.remove(item.key());
                } else {
                    mApplied.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
                }
            }
        }

        void assertNeverAheadOrBack(Store store) {
            assertThat(mItems.revision()).isBetween(mLastRevision, store.revision());
            mLastRevision = mItems.revision();
            assertThat(mItems.present()).hasSize(mApplied.size());
        }
    }
}
