package org.bulrushvale.decision.keys;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import org.bulrushvale.decision.keys.KeyDecision.Kind;
import org.bulrushvale.decision.keys.KeySpaces.AdoptionResult;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.testng.annotations.Test;

/** Guards against two holders of one key space, and against records lost by a handover. */
public class KeySpacesTest {
    private static final KeySecret SECRET = KeySecret.of(new byte[32]);
    private static final BodyFingerprint BODY = new BodyFingerprint(1, 2);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final ManualClock mOtherClock = ManualClock.startingAt(Instant.EPOCH);

    private KeySpaces spaces(long incarnation) {
        return KeySpaces.create(
                incarnation, SECRET, mClock, KeyMemoryBudget.limitedTo(30_000, 3 << 20));
    }

    private static KeyLedger ledgerOf(KeySpaces spaces, IdempotencyKey key) {
        return ((KeyRoute.Local) spaces.route(key)).ledger();
    }

    @Test
    public void
            space_after_handover_replays_at_the_successor_and_runs_no_key_at_the_previous_holder()
                    throws BulrushvaleException {
        // given
        KeySpaces a = spaces(1);
        KeySpaces b = KeySpaces.create(2, SECRET, mOtherClock, KeyMemoryBudget.limitedTo(10, 100));
        IdempotencyKey done = a.issuer().issue("w", "c");
        IdempotencyKey running = a.issuer().issue("w", "c");
        IdempotencyKey fresh = a.issuer().issue("w", "c");
        KeyLedger ledger = ledgerOf(a, done);
        ledger.decide(done, BODY);
        ledger.recordOutcome(done, KeyOutcome.done(200, "già fatto"));
        ledger.decide(running, BODY);
        // when
        KeySpaceHandover handover = a.beginHandover(1);
        assertThat(handover.isReady()).isFalse();
        assertThat(ledger.decide(fresh, BODY).kind()).isEqualTo(Kind.DRAINING);
        KeySpaceOffer offer = a.offer(1, "vm-b", 2).orElseThrow();
        mOtherClock.advance(Duration.ofMinutes(16));
        assertThat(b.adopt(KeySpaceOffer.decode(offer.encode()))).isEqualTo(AdoptionResult.ADOPTED);
        // then
        assertThat(ledger.decide(fresh, BODY).kind()).isEqualTo(Kind.NOT_HELD);
        assertThat(a.route(fresh)).isEqualTo(new KeyRoute.Peer("vm-b"));
        assertThat(ledgerOf(b, done).decide(done, BODY).outcome())
                .isEqualTo(KeyOutcome.done(200, "già fatto"));
        assertThat(ledgerOf(b, done).decide(running, BODY).kind()).isEqualTo(Kind.UNKNOWN_OUTCOME);
        assertThat(ledgerOf(b, done).decide(fresh, BODY).kind()).isEqualTo(Kind.RUN);
    }

    @Test
    public void adopted_space_is_removed_once_all_its_keys_have_expired() {
        // given a space that is handed over twice, 20 minutes apart
        KeySpaces a = spaces(1);
        KeySpaces b = spaces(2);
        KeySpaces c = spaces(3);
        IdempotencyKey key = a.issuer().issue("w", "c");
        KeySpaceOffer first = a.offer(1, "vm-b", 2).orElseThrow();
        assertThat(b.adopt(first)).isEqualTo(AdoptionResult.ADOPTED);
        mClock.advance(Duration.ofMinutes(20));
        assertThat(c.adopt(b.offer(1, "vm-c", 3).orElseThrow())).isEqualTo(AdoptionResult.ADOPTED);
        // when the record lifetime has not passed since the first handover, then it is kept
        mClock.advance(Duration.ofMinutes(10));
        c.removeExpiredSpaces();
        assertThat(c.heldSpaceIds()).containsExactlyInAnyOrder(1L, 3L);
        // when it has passed, then the space is removed, and a late offer does not bring it back
        mClock.advance(Duration.ofMillis(1));
        c.removeExpiredSpaces();
        assertThat(c.heldSpaceIds()).containsExactly(3L);
        assertThat(c.route(key)).isEqualTo(new KeyRoute.Lost());
        assertThat(c.adopt(first.withSuccessor(3))).isEqualTo(AdoptionResult.DUPLICATE);
    }

    @Test
    public void space_is_offered_to_only_one_successor() {
        KeySpaces a = spaces(1);
        KeySpaceOffer offer = a.offer(1, "vm-b", 2).orElseThrow();
        assertThat(a.offer(1, "vm-c", 3)).isEmpty();
        assertThat(a.offer(1, "vm-b", 2)).contains(offer);
        a.acknowledge(1, 2);
        assertThat(a.offer(1, "vm-b", 2)).isEmpty();
        assertThat(a.heldSpaceIds()).isEmpty();
    }

    @Test
    public void
            late_duplicate_of_an_offer_is_not_adopted_after_the_successor_handed_the_space_over() {
        // given
        KeySpaceOffer offer = spaces(1).offer(1, "vm-b", 2).orElseThrow();
        KeySpaces b = spaces(2);
        KeySpaces c = spaces(3);
        assertThat(b.adopt(offer)).isEqualTo(AdoptionResult.ADOPTED);
        assertThat(c.adopt(b.offer(1, "vm-c", 3).orElseThrow())).isEqualTo(AdoptionResult.ADOPTED);
        // then
        assertThat(b.adopt(offer)).isEqualTo(AdoptionResult.DUPLICATE);
        assertThat(b.heldSpaceIds()).containsExactly(2L);
        assertThat(c.heldSpaceIds()).containsExactly(3L, 1L);
    }

    @Test
    public void restarted_successor_does_not_adopt_a_space_offered_to_its_previous_incarnation() {
        KeySpaceOffer offer = spaces(1).offer(1, "vm-b", 2).orElseThrow();
        assertThat(spaces(22).adopt(offer)).isEqualTo(AdoptionResult.WRONG_INCARNATION);
    }

    @Test
    public void space_without_a_known_holder_is_lost_until_gossip_reports_its_location() {
        KeySpaces a = spaces(1);
        IdempotencyKey key = spaces(9).issuer().issue("w", "c");
        assertThat(a.route(key)).isEqualTo(new KeyRoute.Lost());
        a.updatePeerSpaces("vm-b", List.of(2L, 9L));
        a.updatePeerSpaces("vm-c", List.of(9L));
        assertThat(a.route(key)).isEqualTo(new KeyRoute.Peer("vm-c"));
        a.updatePeerSpaces("vm-b", List.of(2L));
        assertThat(a.route(key)).isEqualTo(new KeyRoute.Peer("vm-c"));
        a.removeLocations("vm-c");
        assertThat(a.route(key)).isEqualTo(new KeyRoute.Lost());
    }

    @Test
    public void offer_of_a_full_space_fits_into_a_peer_frame_and_a_damaged_offer_is_rejected() {
        KeySpaces a = spaces(1);
        for (int i = 0; i < KeyLedger.MAX_RECORDS; i++) {
            IdempotencyKey key = a.issuer().issue("w", "c");
            ledgerOf(a, key).decide(key, BODY);
            ledgerOf(a, key).recordOutcome(key, KeyOutcome.done(200, "x".repeat(100)));
        }
        byte[] bytes = a.offer(1, "vm-b", 2).orElseThrow().encode();
        assertThat(bytes.length).isBetween(900_000, KeySpaceOffer.MAX_ENCODED_BYTES);
        byte[] truncated = Arrays.copyOf(bytes, bytes.length - 1);
        byte[] surplus = Arrays.copyOf(bytes, bytes.length + 1);
        for (byte[] damaged : new byte[][] {truncated, surplus, new byte[] {9}, new byte[0]}) {
            assertThatThrownBy(() -> KeySpaceOffer.decode(damaged))
                    .isInstanceOf(BulrushvaleException.class);
        }
    }
}
