package org.bulrushvale.load.mix;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Poisson arrivals with a seeded choice of class, workspace and input.
 *
 * <p>Invariant: the same seed gives the same arrivals; intended times never decrease. Thread
 * safety: not safe; used by the pacing thread.
 */
public final class Arrivals {
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
    private final double mRate;
    private final long mSeed;
    private final UniformRandomProvider mRandom;
    private long mIndex;
    private double mNanos;

    /** Starts a sequence at the given rate per second. */
    public Arrivals(Mix mix, double rate, long seed) {
        mMix = mix;
        mRate = rate;
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the next arrival. */
    public Arrival next() {
        mNanos += -Math.log(1 - mRandom.nextDouble()) / mRate * 1e9;
        ClassMix workClass = draw(mMix.classes(), ClassMix::weight);
        WorkspaceMix workspace = draw(mMix.workspaces(), WorkspaceMix::weight);
        StringBuilder input = new StringBuilder("run ").append(mSeed).append('.').append(mIndex);
        for (int i = 0; i < workClass.inputWords(); i++) {
            input.append(' ').append(WORDS.get(mRandom.nextInt(WORDS.size())));
        }
        String session = "";
        if (workClass.sessions() > 0) {
            session = workspace.name() + "-" + mRandom.nextInt(workClass.sessions());
        }
        return new Arrival(
                mIndex++, (long) mNanos, workClass, workspace, input.toString(), session);
    }

    private <T> T draw(List<T> items, ToDoubleFunction<T> weight) {
        double left = mRandom.nextDouble() * items.stream().mapToDouble(weight).sum();
        for (T item : items) {
            left -= weight.applyAsDouble(item);
            if (left < 0) {
                return item;
            }
        }
        return items.get(items.size() - 1);
    }
}
