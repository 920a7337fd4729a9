package org.bulrushvale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.ConfigWriter;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a transfer that mixes values of two revisions, exceeds a frame or sends values
 * that the receiver already holds.
 */
public class ConfigTransferTest {
    private static final String PADDING = " ".repeat(600_000);

    private static ConfigStore store(long revision, Map<String, String> values) {
        ConfigStore store = ConfigStore.empty(ManualClock.startingAt(Instant.EPOCH));
        assertThat(store.offer(revision, "d", values)).isEqualTo(ConfigStore.OfferResult.ACCEPTED);
        return store;
    }

    private static Map<String, String> values() {
        return new HashMap<>(ConfigWriter.write(PublishedConfig.builder(1).build()));
    }

    @Test
    public void only_changed_values_are_sent() {
        // given
        Map<String, String> held = values();
        Map<String, String> changed = values();
        changed.put("domains", "[ ]");
        // when
        ConfigTransfer transfer = new ConfigTransfer(held);
        PeerMessage.ConfigValues answer =
                ConfigTransfer.answer(transfer.firstRequest(), store(2, changed));
        // then
        assertThat(answer.values()).filteredOn(v -> v.json().length() > 1).hasSize(1);
        assertThat(transfer.take(answer)).isEmpty();
        assertThat(transfer.values()).isEqualTo(changed);
    }

    @Test
    public void values_that_exceed_one_frame_are_sent_in_several() {
        // given
        Map<String, String> large = values();
        large.replaceAll((name, text) -> text + PADDING);
        ConfigStore store = store(2, large);
        // when
        ConfigTransfer transfer = new ConfigTransfer(Map.of());
        Optional<PeerMessage.ConfigFetch> request = Optional.of(transfer.firstRequest());
        int requests = 0;
        while (request.isPresent()) {
            PeerMessage.ConfigValues answer = ConfigTransfer.answer(request.get(), store);
            assertThat(answer.values().stream().mapToInt(v -> v.json().length()).sum())
                    .isLessThanOrEqualTo(1 << 20);
            request = transfer.take(answer);
            requests++;
        }
        // then
        assertThat(transfer.values()).isEqualTo(large);
        assertThat(requests).isEqualTo(large.size());
    }

    @Test
    public void a_revision_that_changes_between_answers_restarts_the_transfer() {
        // given
        Map<String, String> large = values();
        large.replaceAll((name, text) -> text + PADDING);
        ConfigTransfer transfer = new ConfigTransfer(Map.of());
        PeerMessage.ConfigFetch second =
                transfer.take(ConfigTransfer.answer(transfer.firstRequest(), store(2, large)))
                        .orElseThrow();
        // when
        PeerMessage.ConfigFetch third =
                transfer.take(ConfigTransfer.answer(second, store(3, values()))).orElseThrow();
        // then
        assertThat(third).isEqualTo(new PeerMessage.ConfigFetch(java.util.List.of()));
        assertThat(transfer.take(ConfigTransfer.answer(third, store(3, values())))).isEmpty();
        assertThat(transfer.revision()).isEqualTo(3);
        assertThat(transfer.values()).isEqualTo(values());
    }
}
