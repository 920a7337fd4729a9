package org.bulrushvale.load.mix;

/**
 * Share and token of one workspace that sends requests.
 *
 * <p>Invariant: {@code weight} is positive. Thread safety: immutable.
 *
 * @param name workspace name
 * @param token bearer token, never printed
 * @param weight weight of the workspace in the choice of each arrival, relative to the other
 *     workspaces
 */
public record WorkspaceMix(String name, String token, double weight) {
    public WorkspaceMix {
        if (weight <= 0) {
            throw new IllegalArgumentException("weight of workspace must be positive: " + name);
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
