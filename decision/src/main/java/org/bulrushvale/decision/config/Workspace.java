package org.bulrushvale.decision.config;

/**
 * The workspace of one customer, with its share of the capacity.
 *
 * <p>Invariant: {@code share} is positive. Thread safety: immutable.
 *
 * @param name unique name
 * @param tokenSha256 SHA-256 of the workspace token, 64 hexadecimal digits in lower case
 * @param share weight in the fair division of capacity under overload
 */
public record Workspace(String name, String tokenSha256, double share) {}
