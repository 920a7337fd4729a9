package org.bulrushvale.decision.orders;

/**
 * Order to one engine to reach a state.
 *
 * <p>Invariant: the fencing token is the published revision from which the target was derived.
 * Thread safety: immutable.
 *
 * @param server name of the backend server
 * @param target state that the engine must reach
 * @param fencingToken an engine that checks the token refuses one that is lower than a previous one
 */
public record EngineOrder(String server, EngineState target, long fencingToken) {}
