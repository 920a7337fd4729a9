package org.bulrushvale.bench;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.decision.keys.BodyFingerprint;
import org.bulrushvale.decision.keys.IdempotencyKey;
import org.bulrushvale.decision.keys.KeyDecision;
import org.bulrushvale.decision.keys.KeyMemoryBudget;
import org.bulrushvale.decision.keys.KeyOutcome;
import org.bulrushvale.decision.keys.KeyRoute;
import org.bulrushvale.decision.keys.KeySecret;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time to issue, check, admit and finish one idempotency key at the entry that holds
 * it.
 *
 * <p>Thread safety: one state per benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class KeyAdmissionBenchmark {
    private static final int MAX_RECORDS = 20_000;
    private static final byte[] BODY = "{\"seat\":1}".getBytes(StandardCharsets.UTF_8);

    private final KeySecret mSecret = KeySecret.of(new byte[32]);
    private final KeySpaces mSpaces =
            KeySpaces.create(
                    1,
                    mSecret,
                    Clock.system(),
                    KeyMemoryBudget.limitedTo(MAX_RECORDS, MAX_RECORDS));

    /** Issues, checks, admits and finishes one key; the outcome NOT_RUN frees its record again. */
    @Benchmark
    public KeyDecision admitOneKey() throws BulrushvaleException {
        String text = mSpaces.issuer().issue("granite", "seat-booking").toString();
        IdempotencyKey key = IdempotencyKey.parse(text, mSecret, "granite", "seat-booking");
        KeyRoute.Local route = (KeyRoute.Local) mSpaces.route(key);
        BodyFingerprint body = BodyFingerprint.of("granite", "seat-booking", BODY);
        KeyDecision decision = route.ledger().decide(key, body);
        route.ledger().recordOutcome(key, KeyOutcome.notRun());
        return decision;
    }
}
