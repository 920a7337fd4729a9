package org.bulrushvale.decision.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.bulrushvale.decision.keys.KeyDecision.Kind;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a key that runs twice, a recorded outcome that is lost, and records that use
 * unlimited memory.
 */
public class KeyLedgerTest {
    private static final KeySecret SECRET = KeySecret.of(new byte[32]);
    private static final BodyFingerprint BODY = bodyFingerprint("a");
    private static final BodyFingerprint OTHER = bodyFingerprint("b");
    private static final long SEED = 20_261_204L;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private static BodyFingerprint bodyFingerprint(String text) {
        return BodyFingerprint.of("w", "c", text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private KeySpaces spaces(int records, long chars) {
        return KeySpaces.create(7, SECRET, mClock, KeyMemoryBudget.limitedTo(records, chars));
    }

    private static KeyLedger ledgerOf(KeySpaces spaces, IdempotencyKey key) {
        return ((KeyRoute.Local) spaces.route(key)).ledger();
    }

    @Test
    public void second_request_with_a_key_joins_then_replays_and_another_body_conflicts() {
        KeySpaces spaces = spaces(10, 100);
        IdempotencyKey key = spaces.issuer().issue("w", "c");
        KeyLedger ledger = ledgerOf(spaces, key);
        assertThat(ledger.decide(key, BODY).kind()).isEqualTo(Kind.RUN);
        assertThat(ledger.decide(key, BODY).kind()).isEqualTo(Kind.JOIN);
        assertThat(ledger.decide(key, OTHER).kind()).isEqualTo(Kind.CONFLICT);
        ledger.recordOutcome(key, KeyOutcome.done(200, "answer"));
        assertThat(ledger.decide(key, BODY).outcome()).isEqualTo(KeyOutcome.done(200, "answer"));
        assertThat(ledger.decide(key, OTHER).kind()).isEqualTo(Kind.CONFLICT);
    }

    @Test
    public void key_can_run_again_after_not_run_but_never_after_an_unknown_outcome() {
        KeySpaces spaces = spaces(10, 100);
        IdempotencyKey key = spaces.issuer().issue("w", "c");
        KeyLedger ledger = ledgerOf(spaces, key);
        ledger.decide(key, BODY);
        ledger.recordOutcome(key, KeyOutcome.notRun());
        assertThat(ledger.decide(key, OTHER).kind()).isEqualTo(Kind.RUN);
        ledger.recordOutcome(key, KeyOutcome.unknown());
        ledger.recordOutcome(key, KeyOutcome.notRun());
        assertThat(ledger.decide(key, OTHER).kind()).isEqualTo(Kind.UNKNOWN_OUTCOME);
    }

    @Test
    public void records_and_stored_outputs_stay_within_the_memory_limits() {
        KeyMemoryBudget memory = KeyMemoryBudget.limitedTo(2, 5);
        KeySpaces spaces = KeySpaces.create(7, SECRET, mClock, memory);
        KeyLedger ledger = ledgerOf(spaces, spaces.issuer().issue("w", "c"));
        for (String output : new String[] {"four", "more"}) {
            IdempotencyKey key = spaces.issuer().issue("w", "c");
            ledger.decide(key, BODY);
            ledger.recordOutcome(key, KeyOutcome.done(200, output));
        }
        IdempotencyKey third = spaces.issuer().issue("w", "c");
        assertThat(ledger.decide(third, BODY).kind()).isEqualTo(Kind.TABLE_FULL);
        assertThat(memory.outputChars()).isEqualTo(4);
        // when the record lifetime has passed
        mClock.advance(Duration.ofMinutes(31));
        assertThat(ledger.decide(third, BODY).kind()).isEqualTo(Kind.EXPIRED);
        assertThat(memory.records()).isZero();
        assertThat(memory.outputChars()).isZero();
        assertThat(KeyOutcome.done(200, "x".repeat(16 * 1024 + 1)).output()).isNull();
    }

    @Test
    public void request_that_runs_longer_than_the_record_lifetime_is_still_joined() {
        KeySpaces spaces = spaces(10, 100);
        IdempotencyKey key = spaces.issuer().issue("w", "c");
        KeyLedger ledger = ledgerOf(spaces, key);
        ledger.decide(key, BODY);
        mClock.advance(Duration.ofHours(1));
        assertThat(ledger.decide(key, BODY).kind()).isEqualTo(Kind.JOIN);
        ledger.recordOutcome(key, KeyOutcome.done(200, "late"));
        assertThat(ledger.decide(key, BODY).kind()).isEqualTo(Kind.EXPIRED);
    }

    @Test
    public void random_histories_agree_with_a_model_that_keeps_all_records() {
        System.out.println("seed " + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        for (int round = 0; round < 300; round++) {
            KeySpaces spaces = spaces(1_000, 1_000_000);
            IdempotencyKey[] keys = new IdempotencyKey[6];
            Map<Integer, ReferenceModel> model = new HashMap<>();
            for (int step = 0; step < 200; step++) {
                int i = random.nextInt(keys.length);
                if (keys[i] == null || random.nextInt(40) == 0) {
                    keys[i] = spaces.issuer().issue("w", "c");
                    model.put(i, new ReferenceModel(mClock.monotonicNanos()));
                }
                step(ledgerOf(spaces, keys[i]), keys[i], model.get(i), random);
                mClock.advance(Duration.ofSeconds(random.nextInt(120)));
            }
        }
    }

    private void step(
            KeyLedger ledger, IdempotencyKey key, ReferenceModel model, SplittableRandom random) {
        int choice = random.nextInt(6);
        if (choice < 4) {
            BodyFingerprint body = random.nextInt(4) == 0 ? OTHER : BODY;
            Kind expected = model.present(body, mClock.elapsedSince(model.mIssuedNanos).toMillis());
            assertThat(ledger.decide(key, body).kind()).isEqualTo(expected);
        } else {
            KeyOutcome outcome =
                    switch (random.nextInt(3)) {
                        case 0 -> KeyOutcome.done(200, "x");
                        case 1 -> KeyOutcome.unknown();
                        default -> KeyOutcome.notRun();
                    };
            ledger.recordOutcome(key, outcome);
            model.finish(outcome.kind());
        }
    }

    /** Reference model of one key, which never removes its record and decides by age. */
    private static final class ReferenceModel {
        private final long mIssuedNanos;
        private BodyFingerprint mBody;
        private KeyOutcome.Kind mOutcome;

        ReferenceModel(long issued) {
            mIssuedNanos = issued;
        }

        Kind present(BodyFingerprint body, long ageMillis) {
            boolean running = mBody != null && mOutcome == null;
            if (mBody != null && (running || ageMillis <= 30 * 60_000)) {
                if (!mBody.equals(body)) {
                    return Kind.CONFLICT;
                }
                return running
                        ? Kind.JOIN
                        : mOutcome == KeyOutcome.Kind.DONE ? Kind.REPLAY : Kind.UNKNOWN_OUTCOME;
            }
            if (ageMillis > 15 * 60_000) {
                return Kind.EXPIRED;
            }
            mBody = body;
            mOutcome = null;
            return Kind.RUN;
        }

        void finish(KeyOutcome.Kind kind) {
            if (mBody == null || mOutcome != null) {
                return;
            }
            mOutcome = kind;
            if (kind == KeyOutcome.Kind.NOT_RUN) {
                mBody = null;
                mOutcome = null;
            }
        }
    }
}
