package org.bulrushvale.decision.forward;

/**
 * Decides when a stage whose inputs are available starts, given the work that runs beside it.
 *
 * <p>Load: requests with parallel stages of different length while the services of the long ones
 * are busy. The results of a short stage then occupy memory until the long ones end, and may expire
 * before they are read.
 *
 * <p>Thread safety: stateless.
 */
public enum StageStart {
    /** As soon as its inputs are available. */
    EARLY {
        @Override
        public boolean mayStart(
                long pathMillis, long longestOtherMillis, long longestFollowingMillis) {
            return true;
        }
    },

    /** Late enough that its results are ready at about the same time as those beside it. */
    JUST_IN_TIME {
        @Override
        public boolean mayStart(
                long pathMillis, long longestOtherMillis, long longestFollowingMillis) {
            // The next decision is made when a stage ends. A stage that would then be the longest
            // part of what is left must start now.
            return longestOtherMillis <= pathMillis * MAX_PATH_RATIO
                    || longestFollowingMillis < pathMillis;
        }
    };

    // The half leaves a stage time to wait for a server while the others finish.
    private static final double MAX_PATH_RATIO = 1.5;

    /**
     * Returns true when a stage with available inputs may start now.
     *
     * @param pathMillis typical time of the stage and of the stages that depend on it, in ms
     * @param longestOtherMillis the longest such time of the other stages that are not done, in ms
     * @param longestFollowingMillis the longest typical time of the stages that depend on one of
     *     the other stages that are not done, in ms
     */
    public abstract boolean mayStart(
            long pathMillis, long longestOtherMillis, long longestFollowingMillis);
}
