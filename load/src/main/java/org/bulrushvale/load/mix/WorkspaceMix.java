package org.bulrushvale.load.mix;

/**
 * One workspace that sends requests.
 *
 * <p>Invariant: {@code weight} is positive. Thread safety: immutable.
 *
 * @param name workspace name
 * @param token bearer token, never printed
 * @param weight share of the arrivals
 */
public record WorkspaceMix(String name, String token, double weight) {
    public WorkspaceMix {
        if (weight <= 0) {
            throw new IllegalArgumentException("weight must be positive: " + name);
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
