package org.bulrushvale.load.mix;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates Poisson arrivals with a seeded random choice of class, workspace and input.
 *
 * <p>Invariant: the same seed gives the same arrivals; intended times never decrease. Thread
 * safety: not safe; used by the pacing thread.
 */
public final class ArrivalGenerator {
    private static final List<String> WORDS =
            List.of(
                    "oath",
                    "ceremony",
                    "clerk",
                    "venue",
                    "letter",
                    "seat",
                    "ice",
                    "lake",
                    "drill",
                    "thickness",
                    "bulletin",
                    "closure",
                    "registry",
                    "archive",
                    "shore",
                    "report");

    private final Mix mMix;
    private final double mRatePerSecond;
    private final long mSeed;
    private final UniformRandomProvider mRandom;
    private long mNextIndex;
    private double mIntendedNanos;

    /** Starts a sequence at the given rate per second. */
    public ArrivalGenerator(Mix mix, double ratePerSecond, long seed) {
        mMix = mix;
        mRatePerSecond = ratePerSecond;
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the next arrival. */
    public Arrival next() {
        mIntendedNanos += -Math.log(1 - mRandom.nextDouble()) / mRatePerSecond * 1e9;
        ClassMix workClass = chooseWeighted(mMix.classes(), ClassMix::weight);
        WorkspaceMix workspace = chooseWeighted(mMix.workspaces(), WorkspaceMix::weight);
        StringBuilder input =
                new StringBuilder("run ").append(mSeed).append('.').append(mNextIndex);
        for (int i = 0; i < workClass.inputWords(); i++) {
            input.append(' ').append(WORDS.get(mRandom.nextInt(WORDS.size())));
        }
        String session = "";
        if (workClass.sessions() > 0) {
            session = workspace.name() + "-" + mRandom.nextInt(workClass.sessions());
        }
        return new Arrival(
                mNextIndex++,
                (long) mIntendedNanos,
                workClass,
                workspace,
                input.toString(),
                session);
    }

    private <T> T chooseWeighted(List<T> items, ToDoubleFunction<T> weight) {
        double remainingWeight = mRandom.nextDouble() * items.stream().mapToDouble(weight).sum();
        for (T item : items) {
            remainingWeight -= weight.applyAsDouble(item);
            if (remainingWeight < 0) {
                return item;
            }
        }
        return items.get(items.size() - 1);
    }
}
