package org.bulrushvale.decision.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.bulrushvale.decision.config.ConfigStore.OfferResult;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a configuration that reverts to an older revision, changes within a revision or is
 * replaced by an invalid one.
 */
public class ConfigStoreTest {
    private static final Map<String, String> VALUES = ConfigParserTest.validValues();

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void the_accepted_revision_only_increases_and_survives_invalid_ones() {
        ConfigStore store = ConfigStore.empty(mClock);
        assertThat(store.offer(5, "a", VALUES)).isEqualTo(OfferResult.ACCEPTED);
        assertThat(store.offer(4, "z", VALUES)).isEqualTo(OfferResult.OLDER);
        assertThat(store.offer(5, "a", VALUES)).isEqualTo(OfferResult.SAME);
        assertThat(store.offer(5, "b", VALUES)).isEqualTo(OfferResult.DIGEST_CONFLICT);
        assertThat(store.offer(6, "c", Map.of())).isEqualTo(OfferResult.INVALID);
        assertThat(store.revision()).isEqualTo(5);
        assertThat(store.digest()).isEqualTo("a");
        assertThat(store.olderOfferCount()).isEqualTo(1);
        assertThat(store.refusals())
                .extracting(ConfigStore.RefusedOffer::reason)
                .containsExactly(OfferResult.DIGEST_CONFLICT, OfferResult.INVALID);
        assertThat(store.isRefused(6)).isTrue();
        assertThat(store.offer(7, "d", VALUES)).isEqualTo(OfferResult.ACCEPTED);
    }

    @Test
    public void only_a_source_that_names_the_accepted_revision_confirms_it() {
        ConfigStore store = ConfigStore.empty(mClock);
        assertThat(store.isOlderThan(Duration.ofSeconds(4))).isTrue();
        store.offer(5, "a", VALUES);
        mClock.advance(Duration.ofSeconds(5));
        assertThat(store.confirm(4, Duration.ZERO)).isFalse();
        assertThat(store.confirm(6, Duration.ZERO)).isFalse();
        assertThat(store.isOlderThan(Duration.ofSeconds(4))).isTrue();
        assertThat(store.confirm(5, Duration.ofSeconds(1))).isTrue();
        assertThat(store.confirm(5, Duration.ofSeconds(3))).isTrue();
        assertThat(store.confirmationAge()).contains(Duration.ofSeconds(1));
    }
}
